package process

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestScriptRoundTrip formats and parses random scripts, and checks that invalid lines are rejected.
func TestScriptRoundTrip(t *testing.T) {
	for seed := range uint64(20) {
		s := RandomScript(seed, 5, time.Second, 20*time.Second)
		parsed, err := ParseScript("# a comment\n\n" + s.String())
		if err != nil || parsed.String() != s.String() {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	for _, text := range []string{"soon kill 1", "5", "5 dance 1"} {
		if _, err := ParseScript(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

// TestShrink shrinks a long script whose failure needs two of its steps, and expects these two steps to remain.
func TestShrink(t *testing.T) {
	s := RandomScript(3, 5, time.Second, 30*time.Second)
	s = append(s, Step{At: time.Second, Command: "kill", Args: []string{"7"}}, Step{At: time.Minute, Command: "stop", Args: []string{"8"}})
	s.sort()
	plays := 0
	shrunk := Shrink(s, func(script Script) bool {
		plays++
		has := func(arg string) bool {
			return slices.ContainsFunc(script, func(x Step) bool { return len(x.Args) == 1 && x.Args[0] == arg })
		}
		return has("7") && has("8")
	})
	if shrunk.String() != "1000 kill 7\n60000 stop 8\n" {
		t.Errorf("script after %d plays:\n%s", plays, shrunk)
	}
}

// TestRandomScriptMatchesRecordedHash guards against changes that make a seed give a different script: the recorded
// seed of a failed proof could then not reproduce the failure. The hash was recorded before the identifiers and files of this
// package were renamed.
func TestRandomScriptMatchesRecordedHash(t *testing.T) {
	sum := fnv.New64a()
	extra := func(random *rand.Rand, at time.Duration) []Step {
		return []Step{{at, "extra", []string{fmt.Sprint(random.IntN(9))}}}
	}
	for seed := range uint64(200) {
		fmt.Fprint(sum, RandomScript(seed, 2+int(seed%7), time.Second, 40*time.Second).String())
		fmt.Fprint(sum, RandomScript(seed, 5, 700*time.Millisecond, 30*time.Second, extra, extra).String())
	}
	if got := sum.Sum64(); got != 0xedac64ed6792aaae {
		t.Errorf("hash of the scripts is %#x, want the recorded one", got)
	}
}
