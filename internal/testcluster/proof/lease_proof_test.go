package proof

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"cairntiller/internal/leaseservice"
	"cairntiller/internal/supervisor"
	"cairntiller/internal/testcluster/process"
)

// runHiddenCommand runs the hidden sub-command that the arguments name, if any, and exits. Proofs start the test's executable
// with it as their child processes.
func runHiddenCommand() {
	if len(os.Args) < 2 || !slices.Contains([]string{"child-leases", "child-releases", "hold", "keep", "bad-keep", "work"}, os.Args[1]) {
		return
	}
	var l HiddenCommands
	err := kong.Parse(&l).Run()
	if err == nil {
		os.Exit(0)
	}
	if code, is := err.(supervisor.ExitCode); is {
		os.Exit(int(code))
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// leaseScript is the script for CI: each kind of fault once, in 12 seconds.
const leaseScript = `
200 fate 0.05 0.3 0.01 20 0.5
500 stop-at task-0
600 stop-at work-0
900 stop-hold 3/work-1
1500 cut 1 *
3600 cont 0
3600 cont 1
3600 cont 2
3600 cont 3
3600 cont 4
3700 cont-hold 3/work-1
4200 heal
4300 kill-at task-1
4500 cut * 2
6000 heal
6000 up
6500 kill 0
6500 kill 1
6500 kill 2
7000 start 0
7300 start 1
7600 start 2
9700 cut 0 * both
9700 cut 1 * both
11500 heal
12000 fate 0 0 0 0 0
12000 up
`

func parseScript(t *testing.T, text string) process.Script {
	t.Helper()
	s, err := process.ParseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestLeaseProof guards against two processes that run operations under one lease at once. A holder is stopped past its
// lease's expiry and resumes, another is cut off in one direction, all voters are killed at once, messages are duplicated and
// delayed, and a majority is lost and comes back. The proof has to detect a supervisor that does not end its command in time.
func TestLeaseProof(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		p    LeaseProof
		want string
	}{
		"mixed faults":                  {LeaseProof{Script: parseScript(t, leaseScript), Measurements: 1}, ""},
		"commands without a supervisor": {LeaseProof{Script: parseScript(t, "200 stop-at work-0\n6000 up\n"), Unsupervised: true}, "overlapped"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.p.Seed, c.p.Voters, c.p.Others, c.p.SafetyOnly, c.p.Log, c.p.Output = 1, 3, 2, true, io.Discard, io.Discard
			line, err := c.p.Run()
			if c.want == "" && (err != nil || !strings.Contains(line, "holds")) {
				t.Errorf("%v: %s", err, line)
			}
			if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(line, "FAILS")) {
				t.Errorf("the planted mistake was not detected: %v, %s", err, line)
			}
		})
	}
}

// syncBuffer is a buffer that is safe for concurrent writes and reads.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), text)
}

// TestClockDriftBeyondBound: one voter's clock drifts by three times the bound, so that leases are no longer safe. Leases do not
// protect against that, so the log has to report it.
func TestClockDriftBeyondBound(t *testing.T) {
	t.Parallel()
	log := &syncBuffer{}
	p := LeaseProof{Seed: 2, Voters: 3, Others: 1, SafetyOnly: true, FirstClockRate: 1 + 3*leaseDrift, Script: parseScript(t, "9000 heal\n"), Log: log, Output: io.Discard}
	if line, err := p.Run(); err != nil {
		t.Errorf("%v: %s", err, line)
	}
	if !log.contains("a clock is outside the bound") || !log.contains("voter=r0") {
		t.Error("the log does not report the drift of r0's clock")
	}
}

// TestVoterSetChangeDuringPartition guards against a voter set that never takes effect, and against a holder in the old and one
// in the new set at once, when an operator replaces a voter while another one is cut off. Changed one voter at a time, the set
// has to take effect, without overlaps.
func TestVoterSetChangeDuringPartition(t *testing.T) {
	t.Parallel()
	log := &syncBuffer{}
	p := LeaseProof{Seed: 3, Voters: 3, Others: 2, SafetyOnly: true, Log: log, Output: io.Discard, Script: parseScript(t, `
1000 cut 0 * both
1500 voters 2 r0,r1,r2,r3 r0,r1,r2
7000 voters 3 r1,r2,r3 r0,r1,r2,r3
12000 heal
16000 heal
`)}
	if line, err := p.Run(); err != nil {
		t.Errorf("%v: %s", err, line)
	}
	if !log.contains("voters number 3 in force here") {
		t.Error("voter set 3 did not take effect")
	}
}

// TestTakeoverOfManyLeases guards against voters that never work off their queue when the holder of a thousand leases is
// killed and all of them are requested at once. Another process has to hold all of them soon.
func TestTakeoverOfManyLeases(t *testing.T) {
	t.Parallel()
	const bulk = 1000
	c := &leaseRun{proof: LeaseProof{Seed: 4, Voters: 3, Others: 2, BulkLeases: bulk, Log: io.Discard, Output: io.Discard}}
	if err := c.setUp(); err != nil {
		t.Fatal(err)
	}
	defer c.tearDown()
	// a single overview covers both holders: each one costs the voters time, and their speed is measured
	var others []leaseservice.LeaseStatus
	heldLeases := func() map[string]int {
		n := map[string]int{}
		others = nil
		o, err := c.overview(0)
		for _, one := range o.Leases {
			if err == nil && strings.HasPrefix(one.Lease, "bulk-") && len(one.GrantedBy) > 1 {
				n[one.Holder]++
			} else {
				others = append(others, one)
			}
		}
		return n
	}
	await := func(condition string, is func(n map[string]int) bool) (n map[string]int) {
		t.Helper()
		for end := time.Now().Add(40 * time.Second); ; time.Sleep(250 * time.Millisecond) {
			if n = heldLeases(); is(n) {
				return n
			}
			if time.Now().After(end) {
				t.Fatalf("timed out waiting until %s: %v held, %d others: %+v", condition, n, len(others), others[:min(8, len(others))])
			}
		}
	}
	n := await("all leases are held", func(n map[string]int) bool { return n[process.ProcessName(3)]+n[process.ProcessName(4)] == bulk })
	busiest, other := "3", 4
	if n[process.ProcessName(4)] > n[process.ProcessName(3)] {
		busiest, other = "4", 3
	}
	c.harness.Execute(process.Step{Command: "kill", Args: []string{busiest}})
	began := time.Now()
	await("the other process holds all leases", func(n map[string]int) bool { return n[process.ProcessName(other)] == bulk })
	t.Logf("takeover of all leases took %v", time.Since(began).Round(time.Millisecond))
}
