// Package leasesim simulates processes that vote on leases and hold them: each has its own clock, messages are lost,
// doubled, late and out of order, links are cut one way or both, processes are stopped, killed and started anew with or
// without what they stored, and the set of voters changes. It knows the true time and checks after each event that no two
// processes could act under one lease at once and that terms only grow. Equal seeds give equal runs, as a hash over all
// events shows. It is for tests and proofs; mistakes can be planted to see that it finds them.
//
// scenario.go holds what a run is made of, simulation.go the events, process.go a simulated process and its actions,
// network.go its links, truth.go the rules that are checked, faults.go what goes wrong, mistakes.go what is planted.
package leasesim
