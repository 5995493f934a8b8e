// Package leaseservice carries the fleet's leases: it moves messages between the members and what package lease decides,
// stores a voter's records, lets acts run under a guard, and answers operators. It decides nothing about who has a lease.
//
// A Service is one instance's part. Three goroutines own its state:
//
//   - the candidate's (runCandidate) alone touches lease.Candidate and the map of guards;
//   - the voter's (runVoter) alone touches lease.Voter and the voter's file, so that a slow disk holds up votes and not
//     the leases that this instance holds;
//   - a guard's acts run on whichever goroutine calls Guard.Do.
//
// Others reach the first two through their channels: onCandidate and onVoter run a function there and wait for it,
// deliver hands over a message and never blocks.
//
// The file of each concern: service.go (start, end, delivery), candidate_loop.go and voter_loop.go (the two goroutines),
// guard.go (acts under a lease), voter_query.go (what voters know, page by page), operator_api.go (operators' requests),
// store.go (a voter's file), codec.go (messages on the wire), settings.go (the operator's file).
package leaseservice
