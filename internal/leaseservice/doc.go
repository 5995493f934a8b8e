// Package leaseservice runs package lease in a router: it exchanges messages with the other members, stores a voter's
// records, runs operations under a guard, and serves operators' requests. It makes no decisions about who holds a
// lease.
//
// A Service belongs to one instance. Its state is owned as follows:
//
//   - the candidate's goroutine (runCandidate) alone accesses lease.Candidate and the map of guards;
//   - the voter's goroutine (runVoter) alone accesses lease.Voter and the voter's file, so that a slow disk delays votes
//     but not the leases that this instance holds;
//   - a guard's operations run on the goroutine that calls Guard.Do.
//
// Other goroutines reach the first two through channels: onCandidate and onVoter run a function there and wait for it;
// deliver passes a message on and never blocks.
//
// Files: service.go (start, stop, delivery), candidate_loop.go and voter_loop.go (the two goroutines), guard.go
// (operations under a lease), free.go (requests to free a lease), voter_query.go (paged queries of the voters),
// operator_api.go (operators' requests), store.go (a voter's file), codec.go (wire format), settings.go (the operator's
// file).
package leaseservice
