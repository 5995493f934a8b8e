// Package faultnet is a fault-injecting network between the members of a fleet, for tests and proofs. Network wraps the
// transport of one member inside its process; Relays stand between processes, with faults for each ordered pair of them.
package faultnet
