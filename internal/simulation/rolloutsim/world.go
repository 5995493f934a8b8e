package rolloutsim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"cairntiller/internal/rollout"
	"cairntiller/internal/simulation/eventqueue"
)

// World is one run.
type World struct {
	Setup
	Now       int64                                 // us
	Violation string                                // the first rule that was broken, "" for none; the run ends with it
	Trace     func(at int64, what string)           // is told what happens; nil for nobody
	observe   func(router string, a rollout.Action) // is told of each action before it is carried out; nil for nobody

	rng    *rand.Rand
	events eventqueue.Queue[func()]
	digest *xxhash.Digest
	result Result

	routers     []*router
	routerIndex map[string]int
	nodes       []*node
	nodeByName  map[string]*node

	// Faults.
	loss        float64 // share of messages
	duplication float64 // share of messages
	faultsOver  bool

	// The lease, see leaders.go.
	holder            int // index of the router that holds it, -1 for none
	holderIncarnation uint64
	leaseUntil        int64
	term              uint64

	// What the checks know.
	committed          *rollout.Record // the newest that a leader knows to be kept by a majority of voters
	planStartedAt      map[string]int64
	grantedSlots       map[string]rollout.Slot // the newest, by router
	haltsCounted       map[string]bool         // plans whose halt by evidence was counted
	recoveredByCommand bool                    // an operator's command let the leader begin from what was left

	commandsSent int
}

// New makes a run; plans start one after another in its first third.
func New(s Setup) *World {
	w := &World{
		Setup:         s,
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
		for place := range nodesPerGroup {
			w.addNode(group, place)
		}
	}
	w.after(0, w.renewLease)
	for i, plan := range s.Plans {
		start := 8_000_000 + int64(i)*s.FaultTime/4
		w.after(start, func() { w.sendCommand(rollout.Command{Type: rollout.CommandStart, Plan: plan}, 0) })
	}
	if s.Faults {
		w.loss = w.rng.Float64() * 0.15
		w.duplication = w.rng.Float64() * 0.2
		w.after(w.rng.Int64N(5_000_000), w.injectFault)
	}
	return w
}

// Run plays the whole run.
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

func (w *World) after(d int64, event func()) { w.events.Push(w.Now+d, event) }

// What goes into a run's hash.
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

// violated notes that a rule is broken.
func (w *World) violated(format string, args ...any) {
	if w.Violation == "" {
		w.Violation = fmt.Sprintf("%.3f s: ", float64(w.Now)/1e6) + fmt.Sprintf(format, args...)
		w.trace("BROKEN %s", w.Violation)
	}
}
