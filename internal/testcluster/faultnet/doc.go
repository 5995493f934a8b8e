// Package faultnet injects network faults between the members of a fleet, for tests and proofs. Network wraps the transport of
// one member inside its process. Relays forward traffic between processes, with faults for each ordered pair of processes.
package faultnet
