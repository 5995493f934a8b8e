// Package lease decides who holds a cluster-wide lease, so that two processes never act under one lease at once. It does
// no I/O and has no clock and no goroutine: the caller passes messages, ticks and requests to a Voter and a Candidate,
// each with its time in microseconds of their own monotonic clock, and carries out the actions that TakeActions returns.
// The same calls give the same actions. docs/leases.md contains the safety argument; package leaseservice provides the
// transport, the storage and the guards.
//
// # Roles
//
// A lease is granted by a majority of a named set of voters, for a length of time and under a term, a number that
// increases from one holder to the next. Each process that wants leases runs a Candidate; each process that may vote
// runs a Voter. A Candidate also renews and releases the leases that it has acquired, so it plays the holder's role too.
//
// # Candidate states, per requested lease
//
//	waiting ──nextAttemptAt reached───────▶ requesting
//	requesting ──trial won, then full─────▶ holding      (Acquired)
//	requesting ──no majority in time──────▶ waiting      (backs off, or waits for the current holder)
//	holding ──a majority extends──────────▶ holding      (Extended)
//	holding ──time ran out────────────────▶ waiting      (Lost; no release is sent)
//	holding ──Release─────────────────────▶ waiting      (the release is sent several times)
//	any ──Withdraw, Abandon───────────────▶ request removed
//
// While requesting, the candidate first asks every voter for a short trial grant; once a majority has granted that, it
// asks for the full length. While holding, it extends all of its leases with one renewal request to each voter, four
// times per lease length. A holder that a voter answers with TermTooLow carries its lease over to a later term without
// interruption (see carryOver).
//
// # Voter states, per lease
//
//	free ──grant request passes Voter.decide──▶ granted   (StoreGrant, before the response is sent)
//	granted ──extended by its holder──────────▶ granted   (the end of a grant never moves back)
//	granted ──its time ran out────────────────▶ free      (counts as a lapse of the holder)
//	granted ──released by its holder──────────▶ free
//	free ──a candidate waits──────────────────▶ free, reserved for the first in the queue for reservationLength
//
// A voter that has just started abstains: it grants nothing for the length of the longest lease, because grants of its
// earlier process may not have expired.
//
// # Terms
//
// A voter begins a grant only under a term above every term that it granted for the lease, and above its term floor.
// The floor covers the terms that it no longer remembers. It starts at the wall clock's microseconds at the end of the
// abstention, or at the highest stored term if that is higher, and rises to other voters' floors during the abstention.
//
// # Network partitions
//
// A lease is safe whichever links fail, in one direction or both; only availability is affected. If a holder's requests
// no longer reach a voter, that voter's grant expires; if the voter's responses no longer reach the holder, the holder
// stops counting that vote before the grant expires, because it counts from before its request (see UsableLength). If a
// majority is lost either way, the holder gets Lost at the end of its counted time, and no other candidate can get a
// majority before the voters' longer time is over. A candidate that can send but not receive acquires nothing; each of
// its trial grants blocks others for at most maxTrialLength.
//
// # State that survives a restart
//
// A Candidate keeps no state across restarts: its new process has a new incarnation, to which no earlier grant belongs.
// Of a Voter, the caller may store what StoreGrant, DeleteGrant and StoreVoterSet contain, and pass it to NewVoter: the
// last holder and term of each lease, the term floor, and the number of the voter set. The grants themselves are not
// kept; the abstention covers them.
package lease
