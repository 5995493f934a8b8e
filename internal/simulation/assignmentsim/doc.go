// Package assignmentsim simulates cooperating instances in one process. Each has its own assignment.Table, its own clock
// and its own view of which others are alive; what one learns reaches the rest late, out of order, twice or not at all;
// simulated nodes count who probes them. It is for tests and proofs: time is simulated, equal seeds give equal runs, and
// the caller switches faults between steps.
package assignmentsim
