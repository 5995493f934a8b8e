package versionaudit

import (
	"cmp"
	"slices"
)

// Fault is what is wrong with a member.
type Fault uint8

// The faults.
const (
	Behind       Fault = iota + 1 // its list is older than what others had at the first look already
	Unresponsive                  // it answered neither look
	WithoutList                   // it has never had a list
)

var faultNames = [...]string{Behind: "behind", Unresponsive: "unresponsive", WithoutList: "without a list"}

// String names the fault, as it is logged.
func (f Fault) String() string { return faultNames[f] }

// Finding is what is wrong with one member.
type Finding struct {
	Member  string
	Fault   Fault
	Version int64 // of the list that it has; 0 if it did not answer or has none
	Want    int64 // the latest version that anybody had at the first look
}

// noList is the version of a member that has never had a list.
const noList = -1

// The looks of an audit.
const (
	firstLook = iota
	secondLook
	looks // how many there are
)

// audit is what one audit has learned so far.
type audit struct {
	members  []string
	versions [looks]map[string]int64 // by member, as it answered in each look
}

func newAudit(members []string) *audit {
	return &audit{members: members, versions: [looks]map[string]int64{{}, {}}}
}

// recordAnswer takes a member's answer in a look.
func (a *audit) recordAnswer(look int, member string, version int64) {
	a.versions[look][member] = version
}

// findings returns what is wrong, in the order of the members' names.
func (a *audit) findings() []Finding {
	want := int64(0)
	for _, version := range a.versions[firstLook] {
		want = max(want, version)
	}
	var all []Finding
	for _, name := range a.members {
		if finding, wrong := a.judge(name, want); wrong {
			all = append(all, finding)
		}
	}
	slices.SortFunc(all, func(a, b Finding) int { return cmp.Compare(a.Member, b.Member) })
	return all
}

// judge tells what is wrong with a member, if anything.
func (a *audit) judge(name string, want int64) (Finding, bool) {
	first, answeredFirst := a.versions[firstLook][name]
	second, answeredSecond := a.versions[secondLook][name]
	if !answeredFirst && !answeredSecond {
		return Finding{Member: name, Fault: Unresponsive, Want: want}, true
	}
	latest := second
	if !answeredSecond {
		latest = first
	}
	if latest < 0 {
		return Finding{Member: name, Fault: WithoutList, Want: want}, true
	}
	if latest < want && answeredSecond { // the first look alone proves nothing: the list may have been on its way
		return Finding{Member: name, Fault: Behind, Version: latest, Want: want}, true
	}
	return Finding{}, false
}
