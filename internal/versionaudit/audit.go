package versionaudit

import (
	"cmp"
	"slices"
)

// Fault classifies what is wrong with a member's endpoint list.
type Fault uint8

// The faults that an audit reports.
const (
	Behind       Fault = iota + 1 // its list is older than the latest one seen in the first round
	Unresponsive                  // it answered in neither round
	WithoutList                   // it has never received a list
)

var faultNames = [...]string{Behind: "behind", Unresponsive: "unresponsive", WithoutList: "without a list"}

// String returns the fault's name as it appears in logs.
func (f Fault) String() string { return faultNames[f] }

// Finding reports the fault of one member.
type Finding struct {
	Member  string
	Fault   Fault
	Version int64 // of the member's list; 0 if it did not answer or has none
	Want    int64 // the latest version that any member had in the first round
}

// noList is the version sent by a member that has never received a list.
const noList = -1

// The rounds of an audit.
const (
	firstRound = iota
	secondRound
	rounds // number of rounds
)

// audit collects the answers to one audit.
type audit struct {
	members  []string
	versions [rounds]map[string]int64 // answers of each round, by member
}

func newAudit(members []string) *audit {
	return &audit{members: members, versions: [rounds]map[string]int64{{}, {}}}
}

// recordAnswer stores a member's answer in a round.
func (a *audit) recordAnswer(round int, member string, version int64) {
	a.versions[round][member] = version
}

// findings returns the faults found, sorted by member name.
func (a *audit) findings() []Finding {
	want := int64(0)
	for _, version := range a.versions[firstRound] {
		want = max(want, version)
	}
	var all []Finding
	for _, name := range a.members {
		if finding, faulty := a.findingFor(name, want); faulty {
			all = append(all, finding)
		}
	}
	slices.SortFunc(all, func(a, b Finding) int { return cmp.Compare(a.Member, b.Member) })
	return all
}

// findingFor evaluates one member's answers. It reports false if the member has no fault.
func (a *audit) findingFor(name string, want int64) (Finding, bool) {
	first, answeredFirst := a.versions[firstRound][name]
	second, answeredSecond := a.versions[secondRound][name]
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
	if latest < want && answeredSecond { // the first round alone is not enough: the list may have been in transit
		return Finding{Member: name, Fault: Behind, Version: latest, Want: want}, true
	}
	return Finding{}, false
}
