// Package process runs many router processes in front of a test cluster and injects faults from outside of them: links that are
// cut in one or both directions, or that lose, duplicate, delay or corrupt data; processes that are killed, stopped, continued
// and restarted, with or without their stored state; clocks with an offset, drift or a jump.
//
// The faults are described by a script, a value that can be printed, parsed, replayed and shrunk. Results are judged by what
// the test cluster recorded, not by the state that a router reports.
package process
