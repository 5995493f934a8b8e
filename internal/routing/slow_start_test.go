package routing

import (
	"fmt"
	"math"
	"testing"
)

// All nodes of a shard restart at once. Their slow start must use their warm rates from before the restart, not the low
// default rate.
func TestRestartedShardUsesRememberedWarmRates(t *testing.T) {
	h := newShardHarness(t, 1, 3)
	sent := 0
	for i := range 800 {
		if i == 400 {
			for n := range 3 {
				h.startedAt[fmt.Sprint("g0n", n)] = h.now
				h.sendListChange(fmt.Sprint("g0n", n))
			}
			sent = 0
		}
		h.sendRequest(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
		h.advance(20_000)
		sent += len(h.inFlight)
		h.answerAll(nil)
	}
	if sent < 280 {
		t.Fatalf("restarted shard got %d requests in eight seconds, want at least 280", sent)
	}
}

// Guards against a slow start without traffic: each of many routers would need long to accumulate credit for its first
// request. A random initial credit makes them use the node from the start.
func TestInitialCreditVariesAcrossRouters(t *testing.T) {
	credit := 0.0
	for seed := range uint64(100) {
		h := newHarness(t, seed)
		h.startedAt["g0n1"] = h.now
		h.sendFullList(1, 2)
		credit += h.node("g0n1").credit / h.router.groups[eventualRead].avgResponseTime
	}
	if credit < 30 || credit > 70 {
		t.Fatal("total initial credit of 100 routers, in requests:", credit)
	}
}

// The share of its budget that a node receives must grow with its capacity share and stay below the whole budget.
func TestSlowStartShareGrowsWithCapacity(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	cold, warm := h.node("g0n0"), h.node("g0n1")
	warm.warmRate = 500_000
	cold.startedAt = h.now
	last := 0.0
	for _, at := range []int64{0, modelWarmUp / 2, modelWarmUp - 1000} {
		cold.credit = -1e6 // one second's worth, far from the cap
		cold.creditAt = h.now + at - 1e6
		capacityShare := h.router.capacityShare(cold, h.now+at)
		h.router.refillCredit(cold, h.router.groups[eventualRead], capacityShare, h.now+at)
		budgetShare := (cold.credit + 1e6) / (2 * capacityShare * warm.warmRate)
		if budgetShare <= last || budgetShare < slowStartBaseShare || budgetShare > 0.8 {
			t.Errorf("at capacity share %.2f: %.2f of the budget, previously %.2f", capacityShare, budgetShare, last)
		}
		last = budgetShare
	}
}

// slowStartFleet describes many routers that send as much as they can to one node that warms up.
type slowStartFleet struct {
	routers          int
	startDelay       int64 // delay after the node's start until they send, in microseconds
	newRoutersPerTen int   // of ten routers, the number of new processes that have seen no warm node
	// shift moves all traffic to one router in five at the node's start. The routers' rates of the warm nodes follow
	// over rateWindow; the other routers send nothing anymore.
	shift bool
}

// run returns the number of requests that all routers together sent the node, and the largest excess over its budget
// beyond random variation: N + 2 sqrt(N) + 2 requests in any modelOverloadWindow. Routers share no state. Traffic is
// uneven, up to several times the mean.
func (c slowStartFleet) run(t *testing.T) (excess float64, sent int) {
	fleet := make([]*harness, c.routers)
	trafficShare := make([]float64, c.routers) // relative to the other routers
	totalShare := 0.0
	for i := range fleet {
		trafficShare[i] = []float64{1, 0.3, 2, 0.7, 4}[i%5]
		totalShare += trafficShare[i]
	}
	nodeStart := int64(1_000_000_000)
	for i := range fleet {
		h := newHarness(t, uint64(i)*7919)
		h.router.config.Routers = c.routers
		h.startedAt["g0n2"] = nodeStart
		h.sendFullList(1, 3)
		fleet[i] = h
	}
	var sentAt []int64
	for now := nodeStart + c.startDelay; now < nodeStart+c.startDelay+2*modelOverloadWindow &&
		now < nodeStart+modelWarmUp; now += 20_000 {
		for i, h := range fleet {
			h.slowStartSends = map[string][]int64{} // a single router's excess is not checked here
			h.advance(now - h.now)
			ownShare := trafficShare[i] / totalShare
			if c.shift {
				oldWeight := math.Exp(-float64(now-nodeStart) / rateWindow)
				if i%5 == 4 {
					ownShare = oldWeight*ownShare + (1-oldWeight)/float64(c.routers/5)
				} else {
					ownShare *= oldWeight
				}
			}
			rate := 0.0
			if i%10 >= c.newRoutersPerTen {
				rate = ownShare * modelNodeRate * h.router.groups[eventualRead].avgResponseTime
			}
			for _, name := range []string{"g0n0", "g0n1"} {
				h.node(name).warmRate = rate
				h.node(name).coolDownUntil = now + 1e6 // the warm nodes have no capacity
			}
			h.node("g0n2").limit = 1e9
			for j := 0; (!c.shift || i%5 == 4) && len(h.router.shards[0].queue) < 2 && j < 3; j++ {
				h.sendRequest(fmt.Sprint(now, "-", j), eventualRead, 0, 1e6, 0)
			}
			for len(h.inFlight) > 0 {
				sentAt = append(sentAt, now)
				h.inFlight[0].sentAt -= 20_000 // the attempt took 20 ms
				h.endAttempt(0, Answered, Replica, now)
			}
		}
	}
	for i, j := 0, 0; i < len(sentAt); i++ {
		for sentAt[j] <= sentAt[i]-modelOverloadWindow {
			j++
		}
		n := 2 * (modelInitialCapacity + (1-modelInitialCapacity)*float64(sentAt[i]-nodeStart)/modelWarmUp) *
			modelNodeRate * modelOverloadWindow / 1e6
		excess = max(excess, float64(i-j+1)-n-2*math.Sqrt(n)-2)
	}
	return excess, len(sentAt)
}

// Guards against a node failing during its warm-up because many routers use it at once after a time in which each may
// have accumulated credit. Each router keeps only its own share, and together they must stay within the budget.
func TestFleetKeepsSlowStartBudget(t *testing.T) {
	for _, c := range []slowStartFleet{
		{3, 0, 0, false}, {3, 8e6, 0, false},
		{20, 0, 0, false}, {20, 8e6, 0, false},
		{30, 3e6, 0, false}, {30, 8e6, 0, false},
		{30, 8e6, 7, false},
		{300, 6e6, 0, false},
		{30, 0, 0, true}, {30, 1e6, 0, true}, {30, 4e6, 0, true},
	} {
		excess, sent := c.run(t)
		if excess > 0 || sent == 0 {
			t.Errorf("%+v: %d requests sent, %.1f over the budget", c, sent, excess)
		}
	}
}
