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

// child runs the command that a proof started this program again for, if it is one.
func child() {
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

// what a script does in CI: each hard case once, in 12 seconds.
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

func script(t *testing.T, text string) process.Script {
	t.Helper()
	s, err := process.ParseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestLeases: a holder is stopped past its lease and goes on, another is cut off one way, all voters are killed at once,
// messages come twice and late, a majority is lost and comes back. No two processes may act under one lease through all of it,
// and a supervisor that does not end its command in time must be seen.
func TestLeases(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		p    LeaseProof
		want string
	}{
		"as it is":                      {LeaseProof{Script: script(t, leaseScript), Measurements: 1}, ""},
		"commands without a supervisor": {LeaseProof{Script: script(t, "200 stop-at work-0\n6000 up\n"), Unsupervised: true}, "overlapped"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.p.Seed, c.p.Voters, c.p.Others, c.p.SafetyOnly, c.p.Log, c.p.Output = 1, 3, 2, true, io.Discard, io.Discard
			line, err := c.p.Run()
			if c.want == "" && (err != nil || !strings.Contains(line, "holds")) {
				t.Errorf("%v: %s", err, line)
			}
			if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(line, "FAILS")) {
				t.Errorf("a fault went unseen: %v, %s", err, line)
			}
		})
	}
}

// lines is a log that may be read while it is written.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), text)
}

// TestClockOutsideTheBound: one voter's clock goes wrong by three times the bound, and leases are no longer safe with it. That
// is outside the promise, so somebody must be told of it.
func TestClockOutsideTheBound(t *testing.T) {
	t.Parallel()
	log := &lines{}
	p := LeaseProof{Seed: 2, Voters: 3, Others: 1, SafetyOnly: true, FirstClockRate: 1 + 3*leaseDrift, Script: script(t, "9000 heal\n"), Log: log, Output: io.Discard}
	if line, err := p.Run(); err != nil {
		t.Errorf("%v: %s", err, line)
	}
	if !log.has("a clock is outside the bound") || !log.has("voter=r0") {
		t.Error("nobody told of it")
	}
}

// TestVotersChangeDuringACut: an operator replaces a voter while another one is cut off, and the new set never comes in force,
// or both sets have a holder. One step at a time it must come in force, and nothing overlap.
func TestVotersChangeDuringACut(t *testing.T) {
	t.Parallel()
	log := &lines{}
	p := LeaseProof{Seed: 3, Voters: 3, Others: 2, SafetyOnly: true, Log: log, Output: io.Discard, Script: script(t, `
1000 cut 0 * both
1500 voters 2 r0,r1,r2,r3 r0,r1,r2
7000 voters 3 r1,r2,r3 r0,r1,r2,r3
12000 heal
16000 heal
`)}
	if line, err := p.Run(); err != nil {
		t.Errorf("%v: %s", err, line)
	}
	if !log.has("voters number 3 in force here") {
		t.Error("the third set never came in force")
	}
}

// TestBulk: the holder of a thousand leases is killed, all of them are requested at once, and the voters never come to the end
// of it. Another process must have them all soon.
func TestBulk(t *testing.T) {
	t.Parallel()
	const bulk = 1000
	c := &leaseRun{proof: LeaseProof{Seed: 4, Voters: 3, Others: 2, BulkLeases: bulk, Log: io.Discard, Output: io.Discard}}
	if err := c.open(); err != nil {
		t.Fatal(err)
	}
	defer c.close()
	// one look tells of both holders: each look is work for the voters whose speed is measured
	var others []leaseservice.LeaseStatus
	held := func() map[string]int {
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
	wait := func(what string, is func(n map[string]int) bool) (n map[string]int) {
		t.Helper()
		for end := time.Now().Add(40 * time.Second); ; time.Sleep(250 * time.Millisecond) {
			if n = held(); is(n) {
				return n
			}
			if time.Now().After(end) {
				t.Fatalf("not in time: %s: %v held, not so %d: %+v", what, n, len(others), others[:min(8, len(others))])
			}
		}
	}
	n := wait("all are held", func(n map[string]int) bool { return n[process.ProcessName(3)]+n[process.ProcessName(4)] == bulk })
	most, other := "3", 4
	if n[process.ProcessName(4)] > n[process.ProcessName(3)] {
		most, other = "4", 3
	}
	c.harness.Execute(process.Step{Command: "kill", Args: []string{most}})
	began := time.Now()
	wait("the other one has them", func(n map[string]int) bool { return n[process.ProcessName(other)] == bulk })
	t.Logf("%v to a new holder of all", time.Since(began).Round(time.Millisecond))
}
