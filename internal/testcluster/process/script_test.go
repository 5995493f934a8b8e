package process

import (
	"slices"
	"testing"
	"time"
)

// TestScript draws, prints and reads scripts, and refuses what none is.
func TestScript(t *testing.T) {
	for seed := range uint64(20) {
		s := RandomScript(seed, 5, time.Second, 20*time.Second)
		again, err := ParseScript("# a comment\n\n" + s.String())
		if err != nil || again.String() != s.String() {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	for _, text := range []string{"soon kill 1", "5", "5 dance 1"} {
		if _, err := ParseScript(text); err == nil {
			t.Errorf("%q was read", text)
		}
	}
}

// TestShrink leaves the two steps that a failure takes.
func TestShrink(t *testing.T) {
	s := RandomScript(3, 5, time.Second, 30*time.Second)
	s = append(s, Step{At: time.Second, Command: "kill", Args: []string{"7"}}, Step{At: time.Minute, Command: "stop", Args: []string{"8"}})
	s.sort()
	plays := 0
	least := Shrink(s, func(one Script) bool {
		plays++
		has := func(arg string) bool {
			return slices.ContainsFunc(one, func(x Step) bool { return len(x.Args) == 1 && x.Args[0] == arg })
		}
		return has("7") && has("8")
	})
	if least.String() != "1000 kill 7\n60000 stop 8\n" {
		t.Errorf("left after %d plays:\n%s", plays, least)
	}
}
