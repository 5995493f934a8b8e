// Package leasesim is a deterministic simulation of processes that vote on leases and hold them. Each process has its own
// clock. Messages are lost, duplicated, delayed and reordered; links are cut in one or both directions; processes are
// paused, killed and restarted with or without their stored state; and the set of voters changes. The simulation knows the
// true time. It checks after each event that no two processes can act under the same lease at the same time and that terms
// only increase. Runs with the same seed are identical, which a hash over all events verifies. The package is used by tests
// and proofs. Mistakes can be planted in the lease protocol to verify that the checks detect them.
//
// scenario.go defines the parameters of a run, simulation.go the event loop, process.go the simulated processes and their
// actions, network.go the links, invariants.go the checked invariants, faults.go the injected faults, and mistakes.go the
// planted mistakes.
package leasesim
