package rolloutsim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"cairntiller/internal/rollout"
	"cairntiller/internal/simulation/eventqueue"
)

// World is a single run: the simulated fleet and its state.
type World struct {
	Scenario
	Now       int64                                 // us
	Violation string                                // the first rule violation, "" if none; it ends the run
	Trace     func(at int64, what string)           // called with a description of each event; may be nil
	observe   func(router string, a rollout.Action) // called with each action before it is carried out; may be nil

	rng    *rand.Rand
	events eventqueue.Queue[func()]
	digest *xxhash.Digest
	result Result

	routers     []*router
	routerIndex map[string]int
	nodes       []*node
	nodeByName  map[string]*node

	// Faults.
	lossRate      float64 // probability that a message is lost
	duplicateRate float64 // probability that a message is delivered twice
	faultsOver    bool

	// The lease, see leaders.go.
	holder            int // index of the router that holds it, -1 if none
	holderIncarnation uint64
	leaseUntil        int64
	term              uint64

	// State of the checks.
	committed      *rollout.Record // the newest record that a leader knows to be stored by a majority of voters
	planStartedAt  map[string]int64
	grantedSlots   map[string]rollout.Slot // the newest slot of each router
	haltsCounted   map[string]bool         // plans counted in HaltsByEvidence
	recoveryForced bool                    // an operator command made the leader start from the remaining state

	tokensIssued int
}

// New creates a run. The plans start one after another, a quarter of the fault time apart.
func New(s Scenario) *World {
	w := &World{
		Scenario:      s,
		rng:           rand.New(rand.NewPCG(s.Seed, 9)),
		digest:        xxhash.New(),
		routerIndex:   map[string]int{},
		nodeByName:    map[string]*node{},
		holder:        -1,
		planStartedAt: map[string]int64{},
		grantedSlots:  map[string]rollout.Slot{},
		haltsCounted:  map[string]bool{},
	}
	for i := range s.Routers {
		w.addRouter(i)
	}
	for group := range s.Groups {
		for indexInGroup := range nodesPerGroup {
			w.addNode(group, indexInGroup)
		}
	}
	w.schedule(0, w.renewLease)
	for i, plan := range s.Plans {
		start := 8_000_000 + int64(i)*s.FaultTime/4
		w.schedule(start, func() { w.sendCommand(rollout.Command{Type: rollout.CommandStart, Plan: plan}, 0) })
	}
	if s.Faults {
		w.lossRate = w.rng.Float64() * 0.15
		w.duplicateRate = w.rng.Float64() * 0.2
		w.schedule(w.rng.Int64N(5_000_000), w.injectFault)
	}
	return w
}

// Run processes all events of the run and returns its measurements.
func (w *World) Run() Result {
	end := w.FaultTime + w.QuietTime
	for w.Violation == "" {
		at, event, due := w.events.Pop(end)
		if !due {
			break
		}
		w.Now = at
		w.result.Events++
		if w.Now >= w.FaultTime && !w.faultsOver {
			w.endFaults()
		}
		event()
	}
	w.Now = max(w.Now, end)
	if w.Violation == "" {
		w.checkEnd()
	}
	w.result.Hash = w.digest.Sum64()
	return w.result
}

func (w *World) schedule(d int64, event func()) { w.events.Push(w.Now+d, event) }

// Event types in the hash of a run.
const (
	hashedKill = iota + 1
	hashedLeader
	hashedDeparture
	hashedState
)

func (w *World) addToHash(kind int, who int, number uint64) {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(w.Now))
	binary.LittleEndian.PutUint64(b[8:], uint64(kind))
	binary.LittleEndian.PutUint64(b[16:], uint64(who))
	binary.LittleEndian.PutUint64(b[24:], number)
	w.digest.Write(b[:])
}

func (w *World) trace(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.Now, fmt.Sprintf(format, args...))
	}
}

// reportViolation records a rule violation. Only the first one is kept.
func (w *World) reportViolation(format string, args ...any) {
	if w.Violation == "" {
		w.Violation = fmt.Sprintf("%.3f s: ", float64(w.Now)/1e6) + fmt.Sprintf(format, args...)
		w.trace("RULE VIOLATED %s", w.Violation)
	}
}
