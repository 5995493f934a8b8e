// Package rolloutsim simulates a fleet that goes through rollout plans: routers that leave, come back, crash, or come
// back with the wrong version; nodes that are drained and hand over; leaders that are killed or cut off; voters that
// forget; messages that are lost, doubled and late. It knows the truth and checks after each event (checks.go) that the
// budget holds, that nothing leaves twice or without a slot, and that no node counts as out of use while a router uses
// it. Equal seeds give equal runs. It is for tests and proofs; mistakes can be planted (mistakes.go) to see that it
// finds them.
package rolloutsim
