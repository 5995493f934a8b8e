// Package lease decides who holds a fleet-wide lease, so that two processes never act under one lease at once. It does
// no I/O and has no clock and no goroutine: a Voter and a Candidate are fed with messages, ticks and requests, each with
// its time in microseconds of their own monotonic clock, and TakeActions returns what the caller must carry out. The
// same calls give the same actions. docs/leases.md holds the argument for its safety, line by line; package
// leaseservice carries the messages, the records and the guards.
//
// # Roles
//
// A lease is granted by a majority of a named set of voters, for a length of time and under a term, a number that grows
// from one holder to the next. Each process that wants leases runs a Candidate; each process that may vote runs a Voter.
// A Candidate stays responsible for a lease after it acquired it, so it is the holder's part too.
//
// # A candidate's states, for each lease that it requests
//
//	waiting ──requestAt has come──────────▶ requesting
//	requesting ──trial won, then full─────▶ holding      (Acquired)
//	requesting ──no majority in time──────▶ waiting      (backs off, or waits for the present holder)
//	holding ──a majority extends──────────▶ holding      (Extended)
//	holding ──time ran out────────────────▶ waiting      (Lost; the voters are not told)
//	holding ──Release─────────────────────▶ waiting      (the voters are told, several times)
//	any ──Withdraw, Abandon───────────────▶ request gone
//
// While requesting it first asks every voter for a short trial grant; once a majority granted that, it asks for the
// whole length. While holding it extends all of its leases by one renewal request to each voter, a quarter of the
// length after the last. A holder that a voter answers with TermTooLow carries its lease over to a later term without a
// gap (see carryOver).
//
// # A voter's states, for each lease
//
//	free ──grant request passes Voter.decide──▶ granted   (StoreGrant, before the answer leaves)
//	granted ──extended by its holder──────────▶ granted   (the end of a grant never moves back)
//	granted ──its time ran out────────────────▶ free      (counts as a lapse of the holder)
//	granted ──released by its holder──────────▶ free
//	free ──somebody waits─────────────────────▶ free, reserved for the first in line for turnTime
//
// A voter that has just started abstains: it grants nothing for the longest lease, because what its former process
// granted may still run.
//
// # Terms
//
// A voter begins a grant only under a term above every term that it granted for the lease, and above its term floor.
// The floor covers the terms that it no longer remembers. It starts above the wall clock's microseconds at the end of
// the abstinence, or above the stored records if there are any, and rises to other voters' floors during the abstinence.
//
// # While a link is cut one way
//
// A lease is safe whatever links are cut; only availability is at stake. If a holder's requests no longer reach a
// voter, that voter's grant runs out; if the voter's answers no longer reach the holder, the holder stops counting that
// vote earlier than the voter does, because it counts from before it asked (see UsableLength). With a majority lost
// either way the holder gets Lost at the end of its counted time, and no other candidate can gather a majority before
// the voters' longer time is over. A candidate that can send but not hear acquires nothing; its trial grants block
// others for maxTrial at a time.
//
// # What survives a restart
//
// Nothing of a Candidate survives: its new process has a new incarnation, to which no former grant belongs. Of a Voter
// the caller may store what StoreGrant, DeleteGrant and StoreVoterSet name, and give it back to NewVoter: last holder
// and term of each lease, the term floor, and the number of the voter set. Grants themselves do not survive; the
// abstinence covers them.
package lease
