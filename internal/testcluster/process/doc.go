// Package process starts many router processes in front of a test cluster and injects faults between them from outside: links
// that are cut one way or both, or that lose, duplicate, delay or corrupt what passes; processes that are killed, stopped,
// continued and restarted, with or without their state; clocks that are off, drift and jump.
//
// The faults are a script, a value that can be printed, parsed, replayed and shrunk. What is true is what the test cluster
// recorded, never what a router believes.
package process
