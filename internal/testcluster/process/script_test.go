package process

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestScript draws, prints and reads scripts, and rejects what is none.
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

// TestShrink: a failure needs two steps of a long script; they are what is left.
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

// TestRandomScriptIsAsRecorded: the seeds of a proof that failed once must give the same script again. The hash is that of
// the program before its names and files were put in order.
func TestRandomScriptIsAsRecorded(t *testing.T) {
	sum := fnv.New64a()
	extra := func(random *rand.Rand, at time.Duration) []Step {
		return []Step{{at, "extra", []string{fmt.Sprint(random.IntN(9))}}}
	}
	for seed := range uint64(200) {
		fmt.Fprint(sum, RandomScript(seed, 2+int(seed%7), time.Second, 40*time.Second).String())
		fmt.Fprint(sum, RandomScript(seed, 5, 700*time.Millisecond, 30*time.Second, extra, extra).String())
	}
	if got := sum.Sum64(); got != 0xedac64ed6792aaae {
		t.Errorf("%#x", got)
	}
}
