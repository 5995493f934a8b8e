package rolloutsim

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"cairntiller/internal/rollout"
)

const (
	reportInterval    = 1_000_000 // us
	zoneCount         = 3
	usualFailureShare = 0.004 // nominal share of failed commands; that of each router is between half and twice this
)

// router is a simulated router with its process and its supervisor.
type router struct {
	name, zone string
	index      int
	isVoter    bool

	// State of its process.
	up          bool
	ready       bool // it accepts commands
	leaving     bool
	incarnation uint64
	version     uint64
	upAt        int64
	downAt      int64
	startupTime int64 // us
	knownLeader int   // index of the last known leader, -1 if none
	member      *rollout.Member
	leader      *rollout.Leader
	voter       *rollout.Voter // nil if it is not a voter

	// Its load.
	commandRate        float64 // commands per second
	failureShare       float64
	counts             rollout.CommandCounts
	drainedSince       map[string]int64  // start of the drain, by node
	openUntil          map[string]int64  // end of its last open command at a drained node, by node
	answersSinceReturn map[string]uint64 // answers from a node since its return to service, by node

	// State of its supervisor and its disk.
	plannedOutage      bool   // taken out of service by a plan and not ready again yet
	nextVersion        uint64 // version to start next
	wrongVersionStarts int    // number of starts that still run the old version instead
	durableRecord      *rollout.Record

	// State of its network.
	partition                    int // it reaches only routers of the same partition
	dropsOutgoing, dropsIncoming bool
}

func (w *World) addRouter(i int) {
	r := &router{
		name:         routerName(i),
		zone:         fmt.Sprint("z", i%zoneCount),
		index:        i,
		isVoter:      i < w.Voters,
		version:      1,
		nextVersion:  1,
		commandRate:  5 + 30*w.rng.Float64(),
		failureShare: usualFailureShare * (0.5 + 1.5*w.rng.Float64()),
	}
	w.routers = append(w.routers, r)
	w.routerIndex[r.name] = i
	w.start(r)
	r.ready = true
}

func (w *World) voterNames() (names []string) {
	for i := range w.Voters {
		names = append(names, routerName(i))
	}
	return names
}

// start starts a new process of a router.
func (w *World) start(r *router) {
	r.up = true
	r.ready = false
	r.leaving = false
	r.incarnation++
	if r.wrongVersionStarts > 0 && r.nextVersion != r.version {
		r.wrongVersionStarts--
	} else {
		r.version = r.nextVersion
	}
	r.upAt = w.Now
	r.startupTime = 200_000 + w.rng.Int64N(400_000)
	r.counts = rollout.CommandCounts{}
	r.knownLeader = -1
	r.member = rollout.NewMember(r.incarnation)
	r.leader = rollout.NewLeader(r.name, w.voterNames())
	r.drainedSince = map[string]int64{}
	r.openUntil = map[string]int64{}
	r.answersSinceReturn = map[string]uint64{}
	if r.isVoter {
		kept := r.durableRecord
		if !w.DurableVoters {
			kept = nil
		}
		r.voter = rollout.NewVoter(r.incarnation, kept)
	}
	incarnation := r.incarnation
	w.schedule(r.startupTime, func() { w.becomeReady(r, incarnation) })
	w.schedule(w.rng.Int64N(reportInterval), func() { w.serveOneSecond(r, incarnation) })
}

// becomeReady makes a router accept commands once it knows the drained nodes or has waited 4 s for them.
func (w *World) becomeReady(r *router, incarnation uint64) {
	if !r.up || r.incarnation != incarnation || r.ready {
		return
	}
	if _, hasStatement := r.member.Statement(); !hasStatement && w.Now-r.upAt < 4_000_000 {
		w.schedule(100_000, func() { w.becomeReady(r, incarnation) })
		return
	}
	r.ready = true
	r.plannedOutage = false
	w.trace("%s is ready, running version %d", r.name, r.version)
}

// kill terminates a router immediately and restarts it after the given time (us).
func (w *World) kill(r *router, restartAfter int64) {
	if !r.up {
		return
	}
	w.trace("%s is killed", r.name)
	w.addToHash(hashedKill, r.index, r.incarnation)
	r.up = false
	r.ready = false
	r.leaving = false
	r.downAt = w.Now
	w.schedule(restartAfter, func() {
		if !r.up {
			w.start(r)
		}
	})
}

// serveOneSecond simulates one second of a router: it serves commands and reports to the leader.
func (w *World) serveOneSecond(r *router, incarnation uint64) {
	if !r.up || r.incarnation != incarnation {
		return
	}
	w.schedule(reportInterval, func() { w.serveOneSecond(r, incarnation) })
	if r.ready {
		w.serveCommands(r)
	}
	r.member.Tick(w.Now)
	w.carryOut(r)
	if r.knownLeader >= 0 {
		w.report(r)
	}
}

func (w *World) serveCommands(r *router) {
	commands := r.commandRate * (0.8 + 0.4*w.rng.Float64())
	share := r.failureShare
	if r.version > 1 {
		share += w.ExtraFailureShare
	}
	failed := max(0, share*commands+math.Sqrt(share*commands)*w.rng.NormFloat64())
	r.counts.Commands += uint64(commands)
	r.counts.Failed += uint64(failed)
	if w.rng.Float64() < failed-math.Floor(failed) {
		r.counts.Failed++
	}
	for name := range r.answersSinceReturn {
		if w.nodeByName[name].up {
			r.answersSinceReturn[name]++
		}
	}
}

// report sends a router's report to its last known leader.
func (w *World) report(r *router) {
	newest, _ := r.member.Statement()
	report := &rollout.Report{
		Member:        r.name,
		Zone:          r.zone,
		Incarnation:   r.incarnation,
		Version:       r.version,
		Ready:         r.ready,
		Leaving:       r.leaving,
		Term:          newest.Term,
		Seq:           newest.Seq,
		Counts:        r.counts,
		StartupTime:   r.startupTime,
		ResidentBytes: 20 << 20,
	}
	if r.isVoter {
		_, report.MayHaveForgotten = r.voter.Record()
	}
	for _, name := range slices.Sorted(maps.Keys(r.drainedSince)) {
		use := rollout.NodeUse{Node: name}
		if w.Now < r.openUntil[name] {
			use.OpenCommands = 1
		}
		report.Nodes = append(report.Nodes, use)
	}
	for _, name := range slices.Sorted(maps.Keys(r.answersSinceReturn)) {
		report.Nodes = append(report.Nodes, rollout.NodeUse{Node: name, Answers: r.answersSinceReturn[name]})
	}
	to := w.routers[r.knownLeader]
	w.send(r, to, func() {
		if w.holdsLease(to) {
			to.leader.HandleReport(w.Now, report)
			w.carryOut(to)
		}
	})
}

// leave takes a router out of service gracefully, and checks that it is allowed to.
func (w *World) leave(r *router, a rollout.LeaveService) {
	w.trace("%s leaves service with slot %d/%d for version %d", r.name, a.Slot.Term, a.Slot.Number, a.Version)
	w.addToHash(hashedDeparture, r.index, a.Slot.Number)
	w.checkSlot(r, a.Slot)
	r.leaving = true
	r.plannedOutage = true
	r.ready = false
	if a.Version > 0 {
		r.nextVersion = a.Version
	}
	w.checkPlannedOutages()
	incarnation := r.incarnation
	w.schedule(300_000+w.rng.Int64N(700_000), func() {
		if r.up && r.incarnation == incarnation {
			w.kill(r, 300_000+w.rng.Int64N(2_000_000))
		}
	})
}

// drainNodes sets the nodes that a router drains. A drained primary is switched over shortly after.
func (w *World) drainNodes(r *router, names []string) {
	for name := range r.drainedSince {
		if !slices.Contains(names, name) {
			delete(r.drainedSince, name)
			r.answersSinceReturn[name] = 0
			w.schedule(60_000_000, func() { delete(r.answersSinceReturn, name) })
		}
	}
	for _, name := range names {
		delete(r.answersSinceReturn, name)
		if _, known := r.drainedSince[name]; known {
			continue
		}
		r.drainedSince[name] = w.Now
		r.openUntil[name] = w.Now + w.rng.Int64N(1_500_000)
		n := w.nodeByName[name]
		if n.primary && !n.refusesSwitchover && !n.switchingOver {
			n.switchingOver = true
			w.schedule(300_000+w.rng.Int64N(600_000), func() { w.switchOver(n) })
		}
	}
}
