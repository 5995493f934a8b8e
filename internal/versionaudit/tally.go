// Package versionaudit is the fleet's first task under a lease: one instance asks all others which version of the node list
// they have, and reports those that stay behind. What it decides is in this file, which does no I/O and has no clock.
package versionaudit

import (
	"cmp"
	"slices"
)

// Fault is what is wrong with a member.
type Fault uint8

// The faults.
const (
	Behind       Fault = iota + 1 // it has an older list than others had at the first look already
	Unresponsive                  // it answered neither look
	WithoutList                   // it has never had a list
)

var faultNames = [...]string{"", "behind", "silent", "without a list"}

// String words the fault.
func (f Fault) String() string { return faultNames[f] }

// Report is what is wrong with one member.
type Finding struct {
	Member  string
	Fault   Fault
	Version int64 // that it has, where it answered
	Want    int64 // that others had
}

// tally is two looks at all members: a list comes late here and there, so a member is behind only where it has not
// caught up at the second look with what anybody had at the first.
type tally struct {
	members []string
	seen    [2]map[string]int64 // version by member; -1 for none yet
}

func newTally(members []string) *tally {
	return &tally{members: members, seen: [2]map[string]int64{{}, {}}}
}

// note takes a member's answer in a look.
func (t *tally) note(look int, member string, version int64) { t.seen[look][member] = version }

// judge finds the faults, by member's name.
func (t *tally) judge() (all []Finding) {
	want := int64(0)
	for _, v := range t.seen[0] {
		want = max(want, v)
	}
	for _, name := range t.members {
		first, a := t.seen[0][name]
		v, b := t.seen[1][name]
		if !b {
			v = first
		}
		switch {
		case !a && !b:
			all = append(all, Finding{name, Unresponsive, 0, want})
		case v < 0:
			all = append(all, Finding{name, WithoutList, 0, want})
		case v < want && b: // one look alone proves nothing
			all = append(all, Finding{name, Behind, v, want})
		}
	}
	slices.SortFunc(all, func(a, b Finding) int { return cmp.Compare(a.Member, b.Member) })
	return all
}
