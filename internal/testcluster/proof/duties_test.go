package proof

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"
)

// TestMain lets the test's program be the router that a proof starts.
func TestMain(m *testing.M) {
	child()
	if len(os.Args) == 4 && os.Args[1] == "child" {
		Child(os.Args[3])
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestDuties plays the short form, and twice with a fault on purpose that it must see.
func TestDuties(t *testing.T) {
	for name, c := range map[string]struct {
		p    Duties
		want string
	}{
		"as it is":                 {Duties{Every: time.Second}, ""},
		"nobody hears the others":  {Duties{Every: time.Second, Apart: true}, "of the unshared probes"},
		"probes that are too rare": {Duties{Every: 6 * time.Second}, "went unprobed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.p.Seed, c.p.Boxes, c.p.Short, c.p.Log, c.p.Writes = 1, 6, true, io.Discard, io.Discard
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

// TestSizes is the simulated part at sizes that take seconds.
func TestSizes(t *testing.T) {
	line, err := Sizes{Seed: 1, Sizes: [][2]int{{3, 10}, {30, 200}}, Writes: io.Discard}.Run()
	if err != nil || !strings.Contains(line, "holds") {
		t.Errorf("%v: %s", err, line)
	}
}

// TestStatements is the proof of statements at its least size, and with a catalogue that is wrong on purpose.
func TestStatements(t *testing.T) {
	p := Statements{Seed: 1, Size: 5000, Morning: 50_000, Writes: io.Discard}
	if line, err := p.Run(); err != nil || !strings.Contains(line, "holds") {
		t.Errorf("%v: %s", err, line)
	}
	p.Blind = true
	if line, err := p.Run(); err == nil || !strings.Contains(err.Error(), "misread") || !strings.Contains(line, "FAILS") {
		t.Errorf("a write called harmless went unseen: %v: %s", err, line)
	}
}
