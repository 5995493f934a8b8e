// Package rolloutsim is a deterministic simulation of a fleet that executes rollout plans. Routers leave service, return,
// crash, or return with the wrong version; nodes are drained and switch over; leaders are killed or disconnected; voters
// lose their state; and messages are lost, duplicated and delayed. The simulation knows the actual state of the fleet. The
// checks in checks.go verify after each event that the budget is respected, that no router leaves service twice or without
// a slot, and that no node counts as unavailable while a router uses it. Runs with the same seed are identical. The package
// is used by tests and proofs. Mistakes can be planted (mistakes.go) to verify that the checks detect them.
package rolloutsim
