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

// awaitOperations waits until an operation was accepted under every task lease within the last 0.5 s, and a command has run
// under every work lease.
func (run *leaseRun) awaitOperations(timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		missing := map[string]bool{}
		for n := range taskLeaseCount {
			missing[fmt.Sprint("task-", n)] = true
		}
		for n := range workLeaseCount {
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
			return fmt.Errorf("after %v no operations under leases %v", timeout, missing)
		}
	}
}

// measure measures how long a lease takes to get a new holder after its holder was killed (takeover) and after its holder
// was asked to release it (hand-over).
func (run *leaseRun) measure() (takeovers, handOvers []time.Duration, err error) {
	for n := range run.proof.Measurements {
		time.Sleep(3 * leaseLength) // a voter that was killed before has ended its abstention by then
		took, err := run.measureTakeover(fmt.Sprint("task-", n%taskLeaseCount))
		if err != nil {
			return nil, nil, err
		}
		takeovers = append(takeovers, took)
	}
	time.Sleep(2 * leaseLength)
	for n := range run.proof.Measurements {
		took, err := run.measureHandOver(fmt.Sprint("task-", n%taskLeaseCount))
		if err != nil {
			return nil, nil, err
		}
		handOvers = append(handOvers, took)
		time.Sleep(leaseLength)
	}
	return takeovers, handOvers, nil
}

// measureTakeover kills a lease's holder and returns the time until the first operation of another holder.
func (run *leaseRun) measureTakeover(name string) (took time.Duration, err error) {
	before := run.lastOperation(name)
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

// measureHandOver asks a lease's holder to release it, and returns the time from its last operation to the first one of the
// next holder.
func (run *leaseRun) measureHandOver(name string) (took time.Duration, err error) {
	before := run.lastOperation(name)
	run.freeLease(name)
	actedAt, err := run.awaitNewHolder(name, before.Term, before.CheckedAt)
	if err != nil {
		return 0, err
	}
	endedAt := before.CheckedAt
	for _, operation := range run.resource.Operations() {
		if operation.Lease == name && operation.Term == before.Term {
			endedAt = max(endedAt, operation.CheckedAt)
		}
	}
	return time.Duration(actedAt-endedAt) * time.Microsecond, nil
}

// awaitNewHolder waits for an operation under a later term of the lease, and returns when it was checked.
func (run *leaseRun) awaitNewHolder(name string, term uint64, after int64) (at int64, err error) {
	for end := time.Now().Add(4 * maxTakeover); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if at := run.firstOperationWithLaterTerm(name, term, after); at > 0 {
			return at, nil
		}
	}
	run.printOverviews()
	return 0, fmt.Errorf("no new holder of %s within %v", name, 4*maxTakeover)
}

// firstOperationWithLaterTerm returns the time of the first operation after the given time that was accepted with a term above
// the given one, 0 if there is none yet.
func (run *leaseRun) firstOperationWithLaterTerm(name string, term uint64, after int64) (at int64) {
	for _, a := range run.resource.Operations() {
		if a.Lease == name && a.Accepted && a.Term > term && a.CheckedAt > after && (at == 0 || a.CheckedAt < at) {
			at = a.CheckedAt
		}
	}
	return at
}

// lastOperation returns the latest accepted operation under a lease.
func (run *leaseRun) lastOperation(name string) (last resource.Operation) {
	for _, a := range run.resource.Operations() {
		if a.Lease == name && a.Accepted && a.CheckedAt > last.CheckedAt {
			last = a
		}
	}
	return last
}

// heldShare returns the share of a period in which the task leases were held, judged by their operations: a gap of more than
// ten operation intervals counts as not held.
func (run *leaseRun) heldShare(from, to int64) float64 {
	covered := int64(0)
	for n := range taskLeaseCount {
		var at []int64
		for _, a := range run.resource.Operations() {
			if a.Lease == fmt.Sprint("task-", n) && a.Accepted && a.CheckedAt >= from && a.CheckedAt <= to {
				at = append(at, a.CheckedAt)
			}
		}
		slices.Sort(at)
		for i := 1; i < len(at); i++ {
			if gap := at[i] - at[i-1]; gap <= 10*operationInterval.Microseconds() {
				covered += gap
			}
		}
	}
	return float64(covered) / float64(taskLeaseCount*(to-from))
}

// overview asks router i for the voters' status.
func (run *leaseRun) overview(i int) (o leaseservice.Overview, err error) {
	err = adminsocket.Do(run.harness.AdminSocket(i), adminsocket.Request{Command: "leases"}, &o)
	return o, err
}

// printOverviews prints each router's view of the voters, to help to diagnose a failure.
func (run *leaseRun) printOverviews() {
	for i := range run.proof.Voters + run.proof.Others {
		o, err := run.overview(i)
		fmt.Fprintf(run.proof.Output, "overview from %s: %+v %v\n", process.ProcessName(i), o, err)
	}
}
