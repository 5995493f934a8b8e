// Package assignmentsim is a deterministic simulation of cooperating instances in one process. Each instance has its own
// assignment.Table, its own clock and its own view of which others are alive. Updates reach the other instances delayed,
// reordered, duplicated or not at all. Simulated nodes count the probes that they receive. Time is simulated, runs with the
// same seed are identical, and the caller injects faults between steps. The package is used by tests and proofs.
package assignmentsim
