package rolloutsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cairntiller/internal/rollout"
)

// word says something to whoever leads, again and again until it is taken or refused.
func (w *World) sendCommand(one rollout.Command, tries int) {
	if one.Token == "" {
		w.commandsSent++
		one.Token = fmt.Sprint("word-", w.commandsSent)
	}
	if tries > 60 {
		return
	}
	if w.holder >= 0 && w.holdsLease(w.routers[w.holder]) {
		r := w.routers[w.holder]
		if _, rec := r.leader.Leading(); rec != nil {
			if one.Type == rollout.CommandStart {
				if _, begun := w.planStartedAt[one.Plan.ID]; !begun {
					w.planStartedAt[one.Plan.ID] = w.Now
				}
			}
			r.leader.HandleCommand(w.Now, &one)
			w.carryOut(r)
		}
	}
	w.after(1_000_000, func() { // a word may be given twice: its token tells
		if w.committed == nil || !slices.Contains(w.committed.Tokens, one.Token) {
			w.sendCommand(one, tries+1)
		}
	})
}

// answer lets an operator look after a fleet whose voters have forgotten.
func (w *World) recoverRecord() {
	w.after(5_000_000, w.recoverRecord)
	if w.holder < 0 || !w.holdsLease(w.routers[w.holder]) || w.routers[w.holder].leader.NotLeadingReason() == "" {
		return
	}
	r := w.routers[w.holder]
	w.commandsSent++
	w.trace("%s is in doubt: %s", r.name, r.leader.NotLeadingReason())
	w.recoveredByCommand = true // the word says so
	r.leader.HandleCommand(w.Now, &rollout.Command{Type: rollout.CommandBegin, Token: fmt.Sprint("word-", w.commandsSent)})
	w.carryOut(r)
}

// fault draws the next thing that goes wrong.
func (w *World) injectFault() {
	if w.faultsOver {
		return
	}
	w.after(w.rng.Int64N(8_000_000), w.injectFault)
	r := w.routers[w.rng.IntN(len(w.routers))]
	span := 1 + w.rng.Int64N(10_000_000)
	switch w.rng.IntN(14) {
	case 0: // an unplanned loss
		w.kill(r, 3*span)
	case 1: // three at once
		for range 3 {
			w.kill(w.routers[w.rng.IntN(len(w.routers))], w.rng.Int64N(30_000_000))
		}
	case 2, 3: // the leader, at whatever step it is
		if w.holder >= 0 {
			w.kill(w.routers[w.holder], span)
		}
	case 4: // one that is out by a plan stays away for longer, or comes back with what it had
		for _, o := range w.routers {
			if o.planned && o.leaving {
				w.kill(o, span)
				if w.rng.IntN(2) == 0 {
					o.wrongVersionStarts = 1 + w.rng.IntN(3)
				}
				break
			}
		}
	case 5: // parted
		half := len(w.routers) / 2
		for i, o := range w.routers {
			if i < half {
				o.partition = 1
			}
		}
		w.after(span, w.healPartitions)
	case 6: // a zone cut off
		for _, o := range w.routers {
			if o.zone == r.zone {
				o.partition = 2
			}
		}
		w.after(span, w.healPartitions)
	case 7: // one way
		if w.rng.IntN(2) == 0 {
			r.mute = true
		} else {
			r.deaf = true
		}
		w.after(span, func() { r.mute, r.deaf = false, false })
	case 8: // a voter, or most of them
		for range 1 + 2*w.rng.IntN(2) {
			w.kill(w.routers[w.rng.IntN(w.Voters)], w.rng.Int64N(3_000_000))
		}
	case 9:
		w.loss, w.duplication = w.rng.Float64()*0.3, w.rng.Float64()*0.4
	case 10:
		w.loss, w.duplication = 0, 0
	case 11, 12: // a node
		if len(w.nodes) > 0 {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			switch w.rng.IntN(3) {
			case 0:
				n.up, n.nearLogEnd, n.downAt = false, false, w.Now
				if n.primary {
					w.after(2_000_000, func() { w.handOver(n) })
				}
				w.after(span, func() { n.up = true })
				w.after(span+5_000_000, func() { n.nearLogEnd = n.up })
			case 1:
				n.nearLogEnd = false
				w.after(span, func() { n.nearLogEnd = n.up })
			default:
				n.keepsPrimary = true
				w.after(3*span, func() { n.keepsPrimary = false; w.handOver(n) })
			}
		}
	case 13: // an operator, or two of them
		if len(w.Plans) == 0 {
			return
		}
		id := w.Plans[w.rng.IntN(len(w.Plans))].ID
		verbs := []rollout.CommandType{rollout.CommandHalt, rollout.CommandResume, rollout.CommandHalt, rollout.CommandResume, rollout.CommandRollBack}
		w.sendCommand(rollout.Command{Type: verbs[w.rng.IntN(len(verbs))], PlanID: id}, 50)
		w.sendCommand(rollout.Command{Type: verbs[w.rng.IntN(len(verbs))], PlanID: id}, 50)
	}
}

func (w *World) healPartitions() {
	for _, o := range w.routers {
		o.partition = 0
	}
}

// kept checks what a leader knows to be kept by a majority: new slots are within the budget, by the truth.
func (w *World) checkCommitted(rec *rollout.Record) {
	was := w.committed
	w.committed = rec
	if was != nil && !w.recoveredByCommand {
		for _, p := range was.Plans {
			if now := progressOf(rec, p.Plan.ID); now == nil && !p.State.Ended() {
				w.violated("plan %s is forgotten", p.Plan.ID)
			} else if now != nil {
				for i, u := range p.Units {
					if now.Units[i].Slot.Less(u.Slot) {
						w.violated("slot %v of %s is forgotten", u.Slot, p.Plan.Units[i])
					}
				}
			}
		}
	}
	w.recoveredByCommand = false
	holds := map[string]bool{}
	for _, p := range rec.Plans {
		for i, u := range p.Units {
			name := p.Plan.Units[i]
			if !u.Phase.HoldsSlot() {
				continue
			}
			holds[p.Plan.Kind.String()+name] = true
			if p.Plan.Kind != rollout.KindNodes {
				if g, had := w.grantedSlots[name]; had && u.Slot.Less(g) {
					w.violated("slot %v of %s is kept behind %v", u.Slot, name, g)
				}
				w.grantedSlots[name] = u.Slot
			}
		}
	}
	for _, p := range rec.Plans {
		if old := progressOf(was, p.Plan.ID); old != nil && old.State != p.State {
			w.trace("plan %s is %s: %s", p.Plan.ID, p.State, p.Reason)
			w.addToHash(4, int(p.State), 0)
		}
		if p.State.Ended() && w.planStartedAt[p.Plan.ID] > 0 {
			w.result.PlanDurations = append(w.result.PlanDurations, w.Now-w.planStartedAt[p.Plan.ID])
			w.planStartedAt[p.Plan.ID] = 0
		}
		if (p.State == rollout.StateRollingBack || p.State == rollout.StateHalted) && !w.haltsCounted[p.Plan.ID] && strings.HasSuffix(p.Reason, "same time") {
			w.haltsCounted[p.Plan.ID] = true
			w.result.HaltsByEvidence++
		}
		w.checkNewSlots(p, progressOf(was, p.Plan.ID), holds)
	}
	// a slot may be freed only by what its unit has proven, or by a word
	for _, p := range rec.Plans {
		old := progressOf(was, p.Plan.ID)
		if old == nil {
			continue
		}
		for i, u := range p.Units {
			if name := p.Plan.Units[i]; old.Units[i].Phase.HoldsSlot() && u.Phase == rollout.PhaseDone && p.Plan.Kind != rollout.KindNodes {
				if r := w.routers[w.routerIndex[name]]; !r.ready && w.Now-r.downAt > 6_000_000 && r.downAt > r.upAt {
					w.violated("the slot of %s is free, and it has been down for %d us", name, w.Now-r.downAt)
				}
			}
		}
	}
}

func progressOf(r *rollout.Record, id string) *rollout.Progress {
	if r == nil {
		return nil
	}
	for _, p := range r.Plans {
		if p.Plan.ID == id {
			return p
		}
	}
	return nil
}

// slots checks the slots that are new in a record.
func (w *World) checkNewSlots(p, was *rollout.Progress, holds map[string]bool) {
	fresh := ""
	for i, u := range p.Units {
		if u.Phase.HoldsSlot() && (was == nil || !was.Units[i].Phase.HoldsSlot()) && u.Slot.Term == w.committed.Term { // a former leader's is older than what is missed now
			fresh = p.Plan.Units[i]
		}
		if p.Plan.Kind == rollout.KindNodes && u.Phase == rollout.PhaseUnavailable && (was == nil || was.Units[i].Phase != rollout.PhaseUnavailable) {
			w.checkUnused(p.Plan.Units[i])
		}
	}
	if fresh == "" {
		return
	}
	out := 0
	if p.Plan.Kind == rollout.KindNodes {
		group := map[int]int{}
		for _, n := range w.nodes {
			if holds[p.Plan.Kind.String()+n.name] || !n.up && w.Now-n.downAt > lossKnownAfter {
				out++
			}
			if holds[p.Plan.Kind.String()+n.name] {
				group[n.group]++
			}
		}
		for g, n := range group {
			if n > max(1, p.Plan.Budget.MaxPerGroup) {
				w.violated("%d nodes of group %d are drained", n, g)
			}
		}
		if most := p.Plan.Budget.Limit(len(w.nodes)); out > most && w.loss == 0 {
			w.violated("%s goes out, the %d. node of %d that may be", fresh, out, most)
		}
		return
	}
	for _, r := range w.routers {
		if holds[rollout.KindRestart.String()+r.name] || holds[rollout.KindVersion.String()+r.name] || !r.up && w.Now-r.downAt > lossKnownAfter {
			out++
		}
	}
	if most := p.Plan.Budget.Limit(len(w.routers)); out > most {
		w.violated("%s goes out, the %d. router of %d that may be", fresh, out, most)
	}
}

// unused checks that no router that is up uses a node that counts as out of use; one that has only just started has its
// first seconds to hear of it.
func (w *World) checkUnused(name string) {
	for _, r := range w.routers {
		if !r.up || w.Now-r.upAt < 5_000_000 {
			continue
		}
		if _, drained := r.drainedSince[name]; !drained || w.Now < r.openUntil[name] {
			w.violated("%s counts as out of use, and %s uses it", name, r.name)
		}
	}
	if w.nodeByName[name].primary {
		w.violated("%s counts as out of use, and leads its group", name)
	}
}

// ends checks that every plan has ended or says why it stands, and that no slot is forgotten.
func (w *World) checkEnd() {
	if w.committed == nil {
		w.violated("nobody leads at the end")
		return
	}
	for _, p := range w.committed.Plans {
		if p.State == rollout.StateRunning || p.State == rollout.StateRollingBack {
			stuck := 0
			for _, u := range p.Units {
				if u.Phase == rollout.PhaseStuck {
					stuck++
				}
			}
			if stuck == 0 {
				w.violated("plan %s is %s at the end (%s), with no reason", p.Plan.ID, p.State, p.Reason)
			}
		}
		if p.Plan.Kind == rollout.KindNodes || p.State == rollout.StateHalted && p.Plan.Kind == rollout.KindVersion {
			continue
		}
		for i, u := range p.Units {
			if r := w.routers[w.routerIndex[p.Plan.Units[i]]]; u.Phase.HoldsSlot() && u.Phase != rollout.PhaseStuck && r.ready && r.incarnation != u.Incarnation && w.Now-r.upAt > 60_000_000 {
				w.violated("the slot of %s is forgotten: it is %v", r.name, u.Phase)
			}
		}
	}
}

// Mixed draws a setup of mixed faults from a seed.
func MixedFaults(seed uint64) Setup {
	rng := rand.New(rand.NewPCG(seed, 10))
	s := Setup{Seed: seed, Routers: 10 + rng.IntN(15), Voters: []int{3, 3, 5}[rng.IntN(3)], Groups: 3 + rng.IntN(4), DurableVoters: rng.IntN(2) == 0, Faults: true,
		FaultTime: 90_000_000, QuietTime: 420_000_000}
	if rng.IntN(8) == 0 {
		s.Routers = 40 + rng.IntN(40)
	}
	var routers, nodes []string
	for i := range s.Routers {
		routers = append(routers, fmt.Sprintf("r%04d", i))
	}
	for g := range s.Groups {
		for k := range 3 {
			nodes = append(nodes, fmt.Sprintf("s-%d%c", g, 'a'+k))
		}
	}
	rng.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	budget := rollout.Budget{MaxShare: 0.1 + 0.2*rng.Float64(), MaxPerZone: rng.IntN(4), MinReplicas: rng.IntN(2)}
	first := rollout.Plan{ID: "first", Kind: rollout.KindRestart, Units: routers, WatchTime: 5_000_000, ProgressTimeout: 30_000_000, Budget: budget}
	if rng.IntN(2) == 0 {
		first.Kind, first.TargetVersion, first.PreviousVersion = rollout.KindVersion, 2, 1
		if rng.IntN(3) == 0 {
			s.ExtraFailureShare = 0.02 + 0.1*rng.Float64()
		}
	}
	s.Plans = append(s.Plans, first)
	if rng.IntN(2) == 0 {
		s.Plans = append(s.Plans, rollout.Plan{ID: "boxes", Kind: rollout.KindNodes, Units: nodes[:1+rng.IntN(len(nodes))], WatchTime: 3_000_000, DrainTime: 4_000_000,
			ProgressTimeout: 30_000_000, Budget: rollout.Budget{MaxShare: 0.34, MinReplicas: rng.IntN(2)}})
	}
	return s
}

// plant plants the mistakes that lie in what a leader is told.
func (w *World) plantMistake(r *router) {
	switch w.Planted {
	case IgnoresUnplannedLosses: // whoever is missed is said to be there
		for _, o := range w.routers {
			if !o.up && !o.planned {
				r.leader.HandleReport(w.Now, &rollout.Report{Member: o.name, Zone: o.zone, Incarnation: o.incarnation, Version: o.version, Ready: true, Counts: o.counts})
			}
		}
		for _, n := range w.nodes {
			r.leader.SetNode(rollout.NodeState{Name: n.name, Zone: n.zone, Group: n.group, Primary: n.primary, Up: true, NearLogEnd: true, WorkShare: 1.0 / 3})
		}
	case FreesSlotByTime: // whoever has been away for a while is said to be back
		for _, o := range w.routers {
			if !o.up && o.planned && w.Now-o.downAt > 2_000_000 {
				r.leader.HandleReport(w.Now, &rollout.Report{Member: o.name, Zone: o.zone, Incarnation: o.incarnation + 1, Version: o.nextVersion, Ready: true, Counts: rollout.CommandCounts{Commands: 1000}})
			}
		}
	case IgnoresOpenCommands: // nobody is said to have anything open
		if _, rec := r.leader.Leading(); rec != nil {
			for _, o := range w.routers {
				p := &rollout.Report{Member: o.name, Zone: o.zone, Incarnation: o.incarnation, Version: o.version, Ready: o.ready, Counts: o.counts}
				for _, name := range rollout.DrainStatement(rec).DrainedNodes {
					p.Nodes = append(p.Nodes, rollout.NodeUse{Node: name})
				}
				if o.up {
					r.leader.HandleReport(w.Now, p)
				}
			}
		}
	case IgnoresPrimary: // no node is said to lead once it is drained
		for _, n := range w.nodes {
			r.leader.SetNode(rollout.NodeState{Name: n.name, Zone: n.zone, Group: n.group, Primary: n.primary && !w.isDrained(n.name), Up: n.up, NearLogEnd: n.nearLogEnd, WorkShare: 1.0 / 3})
		}
	case IgnoresGroups: // each node is said to be a group of its own, with others that are well
		for i, n := range w.nodes {
			r.leader.SetNode(rollout.NodeState{Name: n.name, Zone: n.zone, Group: 1000 + i, Primary: false, Up: n.up, NearLogEnd: n.nearLogEnd})
			r.leader.SetNode(rollout.NodeState{Name: n.name + "+", Group: 1000 + i, Primary: true, Up: true, NearLogEnd: true})
			r.leader.SetNode(rollout.NodeState{Name: n.name + "-", Group: 1000 + i, Up: true, NearLogEnd: true})
		}
	}
}

// Way is how long a router is out at the mean, from its slot to its proof: what it still serves, its stop, its supervisor's
// pause, its start, a second's report, and twenty commands.
const MeanTimeOut = 7 * time.Second

// Versions draws a run without faults in which a new version fails so much more.
func VersionRollout(seed uint64, bad float64) Setup {
	s := MixedFaults(seed)
	s.Faults, s.ExtraFailureShare, s.Plans, s.FaultTime, s.QuietTime = false, bad, s.Plans[:1], 300_000_000, 900_000_000
	p := &s.Plans[0]
	p.Kind, p.TargetVersion, p.PreviousVersion, p.WatchTime, p.ProgressTimeout = rollout.KindVersion, 2, 1, 30_000_000, 120_000_000
	return s
}

// Touched counts the routers that a plan's version reached.
func (w *World) TouchedRouters() (n int) {
	if w.committed == nil {
		return 0
	}
	for _, u := range w.committed.Plans[0].Units {
		if u.Attempts > 0 {
			n++
		}
	}
	return n
}
