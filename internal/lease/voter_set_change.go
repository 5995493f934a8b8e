package lease

import (
	"fmt"
	"slices"
)

// peerStatus is the last status of another voter. Times are on this voter's clock.
type peerStatus struct {
	setNumber  uint64
	adoptedAt  int64 // when it adopted its set
	receivedAt int64
}

const (
	// statusInterval is the time between a voter's status messages to the others, in us.
	statusInterval = 1_000_000
	// statusLifetime is how long a status is considered in a change of the voter set, in us: three messages may be
	// lost.
	statusLifetime = 3_500_000
	// maxPeers limits the other voters that are tracked, to far more than the current set and those before and after it
	// have. It bounds the memory that one member can use up with status messages under many names.
	maxPeers = 64
)

// CurrentSet returns the number and the names of the voter set that the voter has adopted.
func (v *Voter) CurrentSet() (number uint64, names []string) { return v.set.number, v.set.names }

// IsMember reports whether the voter belongs to the voter set that it has adopted.
func (v *Voter) IsMember() bool { return v.set.has(v.name) }

// SetVoters sets the voter set that the operator's file names. The next one in number is adopted as soon as the current
// one is in force (see inForce): by then the grants under the previous one have expired. The error is a *VoterSetError.
func (v *Voter) SetVoters(now int64, voters VoterSet) error {
	refused := func(reason error) error {
		return &VoterSetError{Reason: reason, Offered: voters.Number, InForce: v.set.number}
	}
	switch {
	case voters.Number == v.set.number:
		if !slices.Equal(sorted(voters.Names), sorted(v.set.names)) {
			return refused(ErrSetNumberReused)
		}
		if len(voters.Previous) == 0 {
			v.previousNames = nil // the operator confirms that no process uses an earlier set any more
		}
		return nil
	case voters.Number < v.set.number:
		return refused(ErrSetOutdated)
	case voters.Number > v.set.number+1:
		return refused(ErrSetSkipped)
	case !ValidSuccessor(v.set.names, voters.Names):
		return refused(ErrSetTooDifferent)
	}
	v.nextSet = &adoptedSet{number: voters.Number, names: slices.Clone(voters.Names), adoptedAt: now}
	v.adoptNextSet(now)
	return nil
}

func sorted(names []string) []string { return slices.Sorted(slices.Values(names)) }

// adoptNextSet adopts the next voter set once the current one is in force, see inForce. Before that, it ends the
// abstention of a process that started with a set which it had not seen in force (previousNames), once that set is in
// force.
func (v *Voter) adoptNextSet(now int64) {
	if len(v.previousNames) > 0 && v.inForce(now, v.previousNames, v.set.number-1) {
		v.previousNames = nil
	}
	if v.nextSet == nil || len(v.previousNames) > 0 || !v.inForce(now, v.set.names, v.set.number) {
		return
	}
	v.set = *v.nextSet
	v.set.adoptedAt = now
	v.nextSet = nil
	v.addAction(StoreVoterSet{Number: v.set.number})
	v.addAction(Warning{Text: fmt.Sprintf("voters number %d in force here", v.set.number)})
	v.nextStatusAt = now
}

// inForce reports whether a majority of a voter set has used a number, or later ones, for the longest lease: no grant
// under a lower number is valid any more, and no majority can form under one. Without this wait, two sets that are two
// changes apart could each have a holder, because their majorities need not have a voter in common.
func (v *Voter) inForce(now int64, names []string, number uint64) bool {
	confirmed := 0
	for _, name := range names {
		peer, known := v.peers[name]
		if name == v.name {
			peer = peerStatus{setNumber: v.set.number, adoptedAt: v.set.adoptedAt, receivedAt: now}
			known = true
		}
		if known && now-peer.receivedAt <= statusLifetime && peer.setNumber >= number && now-peer.adoptedAt >= v.longestLease {
			confirmed++
		}
	}
	return 2*confirmed > len(names)
}

// handleVoterStatus records another voter's status, and sends this voter's own to a voter that may not know of it.
func (v *Voter) handleVoterStatus(now int64, m *VoterStatus) {
	peer, known := v.peers[m.From]
	if m.From == v.name || !known && len(v.peers) >= maxPeers {
		return
	}
	if !known || now-peer.receivedAt > statusLifetime { // the sender may not know of this voter
		v.sendStatus(now, m.From)
	}
	if m.SetNumber != peer.setNumber && m.SetNumber != v.set.number {
		v.addAction(Warning{About: m.From, Text: fmt.Sprintf("goes by voters number %d, this one by %d", m.SetNumber, v.set.number)})
	}
	v.peers[m.From] = peerStatus{setNumber: m.SetNumber, adoptedAt: now - m.SetAge, receivedAt: now}
	v.learnWhileAbstaining(now, m)
}

// learnWhileAbstaining lets a voter that has just started learn what it no longer knows: the terms that the others know
// of, and how long the leases that it granted before may be. It accepts only voters whose grants may count together
// with its own. If it accepted a floor from a non-voter, it could grant terms above its own wall clock, forget them at
// a restart, and not receive that floor again: a term would be granted twice.
func (v *Voter) learnWhileAbstaining(now int64, m *VoterStatus) {
	if now >= v.abstainUntil || !v.set.has(m.From) && !slices.Contains(v.previousNames, m.From) {
		return
	}
	v.termFloor = max(v.termFloor, m.TermFloor)
	v.abstainUntil = max(v.abstainUntil, v.startedAt+m.LongestLease)
}

// sendStatusToAll sends this voter's status to the voters of the current set, and of those before and after it.
func (v *Voter) sendStatusToAll(now int64) {
	voters := slices.Concat(v.set.names, v.previousNames)
	if v.nextSet != nil {
		voters = append(voters, v.nextSet.names...)
	}
	slices.Sort(voters)
	if !slices.Contains(voters, v.name) { // this process has no vote
		return
	}
	for _, name := range slices.Compact(voters) {
		if name != v.name {
			v.sendStatus(now, name)
		}
	}
}

// sendStatus sends this voter's status to another voter.
func (v *Voter) sendStatus(now int64, to string) {
	v.send(to, &VoterStatus{
		Header:       v.header(),
		VoterClock:   now,
		SetNames:     v.set.names,
		SetAge:       now - v.set.adoptedAt,
		TermFloor:    v.TermFloor(),
		LongestLease: v.longestLease,
	})
}
