package lease

import (
	"fmt"
	"slices"
)

// peerStatus is another voter's last status. Times are on this voter's clock.
type peerStatus struct {
	setNumber uint64
	adoptedAt int64 // when it adopted its set
	heardAt   int64
}

const (
	// statusInterval is the time between a voter's status messages to the others, in us.
	statusInterval = 1_000_000
	// statusLifetime is how long a status counts for a change of the voter set, in us: three may be lost.
	statusLifetime = 3_500_000
	// maxPeers is how many other voters are kept: far over any set with those before and after it. It bounds the memory
	// that a member can use up by status messages under many names.
	maxPeers = 64
)

// CurrentSet returns the number and the names of the voter set that the voter goes by.
func (v *Voter) CurrentSet() (number uint64, names []string) { return v.set.number, v.set.names }

// IsMember reports whether the voter belongs to the voter set that it goes by.
func (v *Voter) IsMember() bool { return v.set.has(v.name) }

// SetVoters hands over the voter set that the operator's file names. The next one in number is adopted as soon as the
// present one is in force (see inForce): grants under the one before are over by then. The error is a *VoterSetError.
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
			v.previousNames = nil // the operator says that nobody goes by a former set any more
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

// adoptNextSet adopts the next voter set if the present one is in force, see inForce. Before, it ends the abstinence of a
// process that began with a set which it had not seen in force (previousNames), once that set is in force.
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
	v.statusAt = now
}

// inForce reports whether a majority of a voter set has gone by a number, or by later ones, for the longest lease: no grant
// under a lower number is good any more, and no majority under one can come together. Without this wait two sets two
// changes apart could each have a holder, for their majorities need not have a voter in common.
func (v *Voter) inForce(now int64, names []string, number uint64) bool {
	sure := 0
	for _, name := range names {
		peer, known := v.peers[name]
		if name == v.name {
			peer = peerStatus{setNumber: v.set.number, adoptedAt: v.set.adoptedAt, heardAt: now}
			known = true
		}
		if known && now-peer.heardAt <= statusLifetime && peer.setNumber >= number && now-peer.adoptedAt >= v.longestLease {
			sure++
		}
	}
	return 2*sure > len(names)
}

// handleVoterStatus notes another voter's status, and answers a voter that may not know of this one.
func (v *Voter) handleVoterStatus(now int64, m *VoterStatus) {
	peer, known := v.peers[m.From]
	if m.From == v.name || !known && len(v.peers) >= maxPeers {
		return
	}
	if !known || now-peer.heardAt > statusLifetime { // it may not know of this voter
		v.sendStatus(now, m.From)
	}
	if m.SetNumber != peer.setNumber && m.SetNumber != v.set.number {
		v.addAction(Warning{About: m.From, Text: fmt.Sprintf("goes by voters number %d, this one by %d", m.SetNumber, v.set.number)})
	}
	v.peers[m.From] = peerStatus{setNumber: m.SetNumber, adoptedAt: now - m.SetAge, heardAt: now}
	v.learnWhileAbstaining(now, m)
}

// learnWhileAbstaining lets a voter that has just started learn what it no longer knows: terms that the others have heard
// of, and how long the leases may be that it granted before. It believes only voters whose grants may count
// together with its own. If a floor from a non-voter were accepted, this voter could grant terms above its own wall clock,
// forget them at a restart, and not hear that floor again: a term would be granted twice.
func (v *Voter) learnWhileAbstaining(now int64, m *VoterStatus) {
	if now >= v.abstainUntil || !v.set.has(m.From) && !slices.Contains(v.previousNames, m.From) {
		return
	}
	v.termFloor = max(v.termFloor, m.TermFloor)
	v.abstainUntil = max(v.abstainUntil, v.startedAt+m.LongestLease)
}

// sendStatusToAll sends this voter's status to the voters of the present set, and of those before and after it.
func (v *Voter) sendStatusToAll(now int64) {
	voters := slices.Concat(v.set.names, v.previousNames)
	if v.nextSet != nil {
		voters = append(voters, v.nextSet.names...)
	}
	slices.Sort(voters)
	if !slices.Contains(voters, v.name) { // it has no say
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
