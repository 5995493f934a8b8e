package routing

import (
	"fmt"
	"testing"
)

// Guards against a limit that can't grow: at a limit of 1.5 only one attempt fits, which is less than limitInUseShare
// of the limit. Answers in time must still admit a second attempt if routers are few; with many routers, one attempt
// each may already congest a node.
func TestLimitBelowTwoGrowsWithFewRouters(t *testing.T) {
	for _, routers := range []int{2, 3} {
		h := newShardHarness(t, 1, 1)
		h.router.config.Routers = routers
		h.observeReply("g0n0", Primary, 0)
		h.node("g0n0").limit = 1.5
		for i := range 20 {
			h.sendRequest(fmt.Sprint("c", i), plainWrite, 0, 4e6, 0)
		}
		for range 8 {
			h.advance(1_000)
			h.endAttempt(0, Answered, Primary, 0)
		}
		if two := len(h.inFlight) > 1; two != (routers == 2) {
			t.Errorf("%d attempts in flight at a limit of %.1f with %d routers",
				len(h.inFlight), h.node("g0n0").limit, routers)
		}
	}
}
