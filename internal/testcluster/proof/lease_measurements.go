package proof

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/testcluster/process"
	"cairntiller/internal/testcluster/resource"
)

// awaitActs waits until every task is acted under, and every work has begun.
func (run *leaseRun) awaitActs(most time.Duration) error {
	for end := time.Now().Add(most); ; time.Sleep(50 * time.Millisecond) {
		missing := map[string]bool{}
		for n := range taskLeases {
			missing[fmt.Sprint("task-", n)] = true
		}
		for n := range workLeases {
			missing[fmt.Sprint("work-", n)] = true
		}
		for _, r := range run.resource.Usages() {
			delete(missing, r.Lease)
		}
		since := process.TrueClock() - 500_000
		for _, a := range run.resource.Operations() {
			if a.Accepted && a.CheckedAt > since {
				delete(missing, a.Lease)
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %v nobody acts under %v", most, missing)
		}
	}
}

// measure times how soon a lease has a new holder after its own was killed, and after it was asked to give it up.
func (run *leaseRun) measure() (takeovers, handOvers []time.Duration, err error) {
	for n := range run.proof.Measurements {
		time.Sleep(3 * leaseLength) // a voter that was killed has abstained by then
		took, err := run.measureTakeover(fmt.Sprint("task-", n%taskLeases))
		if err != nil {
			return nil, nil, err
		}
		takeovers = append(takeovers, took)
	}
	time.Sleep(2 * leaseLength)
	for n := range run.proof.Measurements {
		took, err := run.measureHandOver(fmt.Sprint("task-", n%taskLeases))
		if err != nil {
			return nil, nil, err
		}
		handOvers = append(handOvers, took)
		time.Sleep(leaseLength)
	}
	return takeovers, handOvers, nil
}

// measureTakeover kills a lease's holder and times how soon another one acts.
func (run *leaseRun) measureTakeover(name string) (took time.Duration, err error) {
	before := run.lastAct(name)
	holder := strconv.Itoa(run.lastHolder(name))
	killedAt := process.TrueClock()
	if err := run.harness.Execute(process.Step{Command: "kill", Args: []string{holder}}); err != nil {
		return 0, err
	}
	actedAt, err := run.awaitNewHolder(name, before.Term, killedAt)
	if err != nil {
		return 0, err
	}
	if err := run.harness.Execute(process.Step{Command: "start", Args: []string{holder}}); err != nil {
		return 0, err
	}
	return time.Duration(actedAt-killedAt) * time.Microsecond, nil
}

// measureHandOver asks a lease's holder to give it up, and times how soon after its last act another one acts.
func (run *leaseRun) measureHandOver(name string) (took time.Duration, err error) {
	before := run.lastAct(name)
	run.freeLease(name)
	actedAt, err := run.awaitNewHolder(name, before.Term, before.CheckedAt)
	if err != nil {
		return 0, err
	}
	endedAt := before.CheckedAt
	for _, act := range run.resource.Operations() {
		if act.Lease == name && act.Term == before.Term {
			endedAt = max(endedAt, act.CheckedAt)
		}
	}
	return time.Duration(actedAt-endedAt) * time.Microsecond, nil
}

// awaitNewHolder waits until a lease is acted under with a later term, and returns when.
func (run *leaseRun) awaitNewHolder(name string, term uint64, after int64) (at int64, err error) {
	for end := time.Now().Add(4 * maxTakeover); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if at := run.firstActUnderLaterTerm(name, term, after); at > 0 {
			return at, nil
		}
	}
	run.printOverviews()
	return 0, fmt.Errorf("no new holder of %s within %v", name, 4*maxTakeover)
}

// firstActUnderLaterTerm is when a lease was first acted under with another term after a time; 0 for not yet.
func (run *leaseRun) firstActUnderLaterTerm(name string, term uint64, after int64) (at int64) {
	for _, a := range run.resource.Operations() {
		if a.Lease == name && a.Accepted && a.Term > term && a.CheckedAt > after && (at == 0 || a.CheckedAt < at) {
			at = a.CheckedAt
		}
	}
	return at
}

// lastAct is the newest act under a lease.
func (run *leaseRun) lastAct(name string) (last resource.Operation) {
	for _, a := range run.resource.Operations() {
		if a.Lease == name && a.Accepted && a.CheckedAt > last.CheckedAt {
			last = a
		}
	}
	return last
}

// heldShare is the part of a time in which somebody acted under a lease: gaps of over ten acts count as nobody.
func (run *leaseRun) heldShare(from, to int64) float64 {
	covered := int64(0)
	for n := range taskLeases {
		var at []int64
		for _, a := range run.resource.Operations() {
			if a.Lease == fmt.Sprint("task-", n) && a.Accepted && a.CheckedAt >= from && a.CheckedAt <= to {
				at = append(at, a.CheckedAt)
			}
		}
		slices.Sort(at)
		for i := 1; i < len(at); i++ {
			if gap := at[i] - at[i-1]; gap <= 10*actInterval.Microseconds() {
				covered += gap
			}
		}
	}
	return float64(covered) / float64(taskLeases*(to-from))
}

// overview asks a router for what the voters know.
func (run *leaseRun) overview(i int) (o leaseservice.Overview, err error) {
	err = adminsocket.Ask(run.harness.AdminSocket(i), adminsocket.Request{Command: "leases"}, &o)
	return o, err
}

// printOverviews prints what the voters know, for whoever looks into a failure.
func (run *leaseRun) printOverviews() {
	for i := range run.proof.Voters + run.proof.Others {
		o, err := run.overview(i)
		fmt.Fprintf(run.proof.Output, "%s knows: %+v %v\n", process.ProcessName(i), o, err)
	}
}
