// Package sexp reads the operator's file: S-expressions, one list a part.
//
//	; a comment
//	(fleet
//	  (cluster "kandy")
//	  (join "10.0.0.1:7946" "10.0.0.2:7946")
//	  (keys (file "/etc/cairntiller/fleet.keys")))
//
// Nothing holds all parts. Each is decoded by the package that it sets up, which takes its values by name from a Part and
// names each value's default and bounds there. A value that can't be read, a name that nobody asked for and a list that
// stands twice are noted as a Fault with file, line and column, and the value's default stands in; File.Faults returns all of
// them at the end, so that one reading of the file tells every mistake in it.
package sexp
