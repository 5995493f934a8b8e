// Package sexp reads the operator's file, which consists of S-expressions, one list per part.
//
//	; a comment
//	(fleet
//	  (cluster "kandy")
//	  (join "10.0.0.1:7946" "10.0.0.2:7946")
//	  (keys (file "/etc/cairntiller/fleet.keys")))
//
// There is no central schema. Each part is decoded by the package that it configures, which looks up values by name in
// a Part and states each value's default and bounds there. An invalid value, a name that no package looks up and a
// duplicate list are recorded as an Error with file, line and column, and the default is used instead. File.Err
// returns all errors at the end, so that reading the file once reports every mistake in it.
package sexp
