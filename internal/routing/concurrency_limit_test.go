package routing

import (
	"fmt"
	"testing"
)

// At a limit of 1.5 one attempt is in flight, which is all that fits, so the limit never counts as used to seven tenths.
// Answers in time must let in a second one all the same where routers are few; many crowd a node with one each.
func TestLimitUnderTwoGrows(t *testing.T) {
	for _, routers := range []int{2, 3} {
		w := newShard(t, 1, 1)
		w.r.config.Routers = routers
		w.seen("g0n0", Primary, 0)
		w.known("g0n0").limit = 1.5
		for i := range 20 {
			w.arrive(fmt.Sprint("c", i), plainWrite, 0, 4e6, 0)
		}
		for range 8 {
			w.step(1_000)
			w.answer(0, Answered, Primary, 0)
		}
		if two := len(w.inFlight) > 1; two != (routers == 2) {
			t.Errorf("%d in flight at a limit of %.1f of %d routers", len(w.inFlight), w.known("g0n0").limit, routers)
		}
	}
}
