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
	var l Hidden
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

// TestLeases plays one script: holders stopped past their lease and continued, cut off one way and both, all voters
// killed at once, messages doubled and late, a majority lost and back. A keeper that heeds no time must be seen.
func TestLeases(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		p    Leases
		want string
	}{
		"as it is":                  {Leases{Script: script(t, leaseScript), Times: 1}, ""},
		"commands without a keeper": {Leases{Script: script(t, "200 stop-at work-0\n6000 up\n"), Unkept: true}, "overlapped"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.p.Seed, c.p.Voters, c.p.Others, c.p.Rules, c.p.Log, c.p.Writes = 1, 3, 2, true, io.Discard, io.Discard
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

// TestClockOutsideTheBound gives one voter a clock at three times the bound: that is outside the promise, and told.
func TestClockOutsideTheBound(t *testing.T) {
	t.Parallel()
	log := &lines{}
	p := Leases{Seed: 2, Voters: 3, Others: 1, Rules: true, Rate: 1 + 3*leaseDrift, Script: script(t, "9000 heal\n"), Log: log, Writes: io.Discard}
	if line, err := p.Run(); err != nil {
		t.Errorf("%v: %s", err, line)
	}
	if !log.has("a clock is outside the bound") || !log.has("voter=r0") {
		t.Error("nobody told of it")
	}
}

// TestVotersChangeDuringACut replaces a voter, one step at a time, while another one is cut off.
func TestVotersChangeDuringACut(t *testing.T) {
	t.Parallel()
	log := &lines{}
	p := Leases{Seed: 3, Voters: 3, Others: 2, Rules: true, Log: log, Writes: io.Discard, Script: script(t, `
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

// TestBulk kills the holder of a thousand leases: another process has them all soon.
func TestBulk(t *testing.T) {
	t.Parallel()
	const bulk = 1000
	c := &tribunal{p: Leases{Seed: 4, Voters: 3, Others: 2, Bulk: bulk, Log: io.Discard, Writes: io.Discard}}
	if err := c.open(); err != nil {
		t.Fatal(err)
	}
	defer c.close()
	// one look tells of both holders: each look is work for the voters whose speed is measured
	var others []leaseservice.LeaseStatus
	held := func() map[string]int {
		n := map[string]int{}
		others = nil
		o, err := c.knows(0)
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
	c.r.Execute(process.Step{Command: "kill", Args: []string{most}})
	began := time.Now()
	wait("the other one has them", func(n map[string]int) bool { return n[process.ProcessName(other)] == bulk })
	t.Logf("%v to a new holder of all", time.Since(began).Round(time.Millisecond))
}
