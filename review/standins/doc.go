//go:build review

// Package standins has what the cases of the second review share: stand-ins for nodes, discovery and clients that keep
// to the protocol page, the start and end of the program's own processes, and the record of a case.
//
// It uses no package of the program, so that a fault there can't hide itself.
package standins
