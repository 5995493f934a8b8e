package routing

import (
	"fmt"
	"math"
	"testing"
)

// All nodes of a shard start at once. They are fed by what they did when they were warm, not by a trickle.
func TestColdShardIsFedByRememberedRates(t *testing.T) {
	w := newShard(t, 1, 3)
	sent := 0
	for i := range 800 {
		if i == 400 {
			for n := range 3 {
				w.started[fmt.Sprint("g0n", n)] = w.now
				w.change(fmt.Sprint("g0n", n))
			}
			sent = 0
		}
		w.arrive(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
		w.step(20_000)
		sent += len(w.inFlight)
		w.serve(nil)
	}
	if sent < 280 {
		t.Fatalf("a shard that warms up was sent %d requests in eight seconds", sent)
	}
}

// Each of many routers would save long for its first request to a node that warms up. Together they feed it from the
// start, because each begins with a chance part of one.
func TestManyRoutersFeedAColdNode(t *testing.T) {
	credit := 0.0
	for seed := range uint64(100) {
		w := newWorld(t, seed)
		w.started["g0n1"] = w.now
		w.list(1, 2)
		credit += w.known("g0n1").credit / w.r.groups[eventualRead].usualResponse
	}
	if credit < 30 || credit > 70 {
		t.Fatal("credit for requests at the start, of a hundred routers:", credit)
	}
}

// The part of its budget that a node is given grows with its warmth, and stays under the whole of it.
func TestColdNodesGetMoreAsTheyWarm(t *testing.T) {
	w := newShard(t, 1, 2)
	cold, warm := w.known("g0n0"), w.known("g0n1")
	warm.warmRate = 500_000
	cold.startedAt = w.now
	last := 0.0
	for _, at := range []int64{0, modelCold / 2, modelCold - 1000} {
		cold.credit = -1e6 // a second of it, far from its bound
		cold.creditAt = w.now + at - 1e6
		warmth := w.r.warmth(cold, w.now+at)
		w.r.refillCredit(cold, w.r.groups[eventualRead], warmth, w.now+at)
		part := (cold.credit + 1e6) / (2 * warmth * warm.warmRate)
		if part <= last || part < slowStartShare || part > 0.8 {
			t.Errorf("at warmth %.2f: %.2f of the budget, %.2f before", warmth, part, last)
		}
		last = part
	}
}

// coldFleet is a case of many routers that want all they can of one node that warms up.
type coldFleet struct {
	routers  int
	wait     int64 // us after the node's start from which they want it
	newInTen int   // of ten routers, so many are new processes that have seen nothing warm
	// shift lets one router in five take all traffic from the node's start on. Its figures of the warm nodes follow as
	// they do, over rateSpan; the other routers want nothing any more.
	shift bool
}

// play returns what all routers together sent the node, and the largest excess over what chance allows on its budget:
// N + 2 sqrt(N) + 2 requests in any modelFall. Routers share nothing. Traffic is uneven, up to several times the mean.
func (c coldFleet) play(t *testing.T) (excess float64, sent int) {
	fleet := make([]*world, c.routers)
	part := make([]float64, c.routers) // of the fleet's traffic
	all := 0.0
	for i := range fleet {
		part[i] = []float64{1, 0.3, 2, 0.7, 4}[i%5]
		all += part[i]
	}
	began := int64(1_000_000_000)
	for i := range fleet {
		w := newWorld(t, uint64(i)*7919)
		w.r.config.Routers = c.routers
		w.started["g0n2"] = began
		w.list(1, 3)
		fleet[i] = w
	}
	var at []int64
	for now := began + c.wait; now < began+c.wait+2*modelFall && now < began+modelCold; now += 20_000 {
		for i, w := range fleet {
			w.warmingSends = map[string][]int64{} // one router's own excess is not what is looked for
			w.step(now - w.now)
			mine := part[i] / all
			if c.shift {
				old := math.Exp(-float64(now-began) / rateSpan)
				if i%5 == 4 {
					mine = old*mine + (1-old)/float64(c.routers/5)
				} else {
					mine *= old
				}
			}
			rate := 0.0
			if i%10 >= c.newInTen {
				rate = mine * modelRate * w.r.groups[eventualRead].usualResponse
			}
			for _, name := range []string{"g0n0", "g0n1"} {
				w.known(name).warmRate = rate
				w.known(name).coolDownUntil = now + 1e6 // the warm ones have no capacity
			}
			w.known("g0n2").limit = 1e9
			for j := 0; (!c.shift || i%5 == 4) && len(w.r.shards[0].queue) < 2 && j < 3; j++ {
				w.arrive(fmt.Sprint(now, "-", j), eventualRead, 0, 1e6, 0)
			}
			for len(w.inFlight) > 0 {
				at = append(at, now)
				w.inFlight[0].sent -= 20_000 // it took as long
				w.answer(0, Answered, Replica, now)
			}
		}
	}
	for i, j := 0, 0; i < len(at); i++ {
		for at[j] <= at[i]-modelFall {
			j++
		}
		n := 2 * (modelFrom + (1-modelFrom)*float64(at[i]-began)/modelCold) * modelRate * modelFall / 1e6
		excess = max(excess, float64(i-j+1)-n-2*math.Sqrt(n)-2)
	}
	return excess, len(at)
}

// A node warms up and many routers want it at once, after a time in which each may have saved up for it. They share
// nothing; each keeping its part, they must not break it together.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	for _, c := range []coldFleet{
		{3, 0, 0, false}, {3, 8e6, 0, false},
		{20, 0, 0, false}, {20, 8e6, 0, false},
		{30, 3e6, 0, false}, {30, 8e6, 0, false},
		{30, 8e6, 7, false},
		{300, 6e6, 0, false},
		{30, 0, 0, true}, {30, 1e6, 0, true}, {30, 4e6, 0, true},
	} {
		excess, sent := c.play(t)
		if excess > 0 || sent == 0 {
			t.Errorf("%+v: %d sent, %.1f over", c, sent, excess)
		}
	}
}
