package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// settleTime is the time after taking leadership during which a leader grants no slot, in us, so that it first learns
// which members are present. Several reports of each member arrive in that time, even if a few are lost. Without it a
// new leader would count members that have not reported to it yet as unavailable, or grant a slot on top of a failure
// that it has not noticed yet.
const settleTime = 5_000_000

// statementInterval is the time between statements to each member, in us. One may be lost; a member that restarts
// learns within that time which nodes are drained.
const statementInterval = 1_000_000

// Leader is the role of the instance that holds the lease. Its knowledge of the fleet (members, nodes, groups) is kept
// across terms of leadership; the record and the trackers of plans belong to one term of leadership.
type Leader struct {
	self   string
	voters []string

	term             uint64 // of the lease; 0 if it is not held
	leadingSince     int64  // when it acquired the lease, and later when its record was first committed
	notLeadingReason string // why it does not lead though it holds the lease, "" if it leads

	// The record, see replication.go.
	record            *Record // as decided; nil until it is recovered from voters
	changed           bool    // record differs from what was last written
	inFlight          *Record // written, not yet kept by a majority
	committed         *Record // kept by a majority; nil if this instance does not lead
	voterStates       map[string]VoterState
	voterIncarnations map[string]uint64
	acknowledged      map[string]bool // voters that keep inFlight
	nextReadAt        int64
	nextWriteAt       int64
	nextStatementAt   int64
	nextTransferAt    int64
	pendingReplies    []pendingReply

	members  map[string]*memberState
	nodes    map[string]*NodeState
	groups   map[int][]*NodeState
	trackers map[string]*planTracker // by plan
	actions  []Action
}

// planTracker is a leader's state of a plan besides the record; a later leader starts with a new one.
type planTracker struct {
	lastProgressAt int64   // when a unit's phase or the plan's state last changed
	watchedSince   int64   // since when the wave has been watched, 0 if it is not
	phaseSince     []int64 // by unit
	analysis       *canaryAnalysis
	blockedBy      error // why a unit was last kept from leaving. It is never cleared; operators see it only if the plan halts for lack of progress
}

// NewLeader returns a Leader that does not lead yet.
func NewLeader(self string, voters []string) *Leader {
	return &Leader{
		self:    self,
		voters:  voters,
		members: map[string]*memberState{},
		nodes:   map[string]*NodeState{},
		groups:  map[int][]*NodeState{},
	}
}

// TakeActions returns the pending actions in order, and clears them.
func (l *Leader) TakeActions() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}

func (l *Leader) emit(a Action) { l.actions = append(l.actions, a) }

func (l *Leader) logf(planID, format string, args ...any) {
	l.emit(LogEvent{PlanID: planID, Text: fmt.Sprintf(format, args...)})
}

// Committed returns the term under which it leads and the committed record, which a majority of voters keeps; 0 and nil
// if it does not lead.
func (l *Leader) Committed() (term uint64, r *Record) {
	if l.committed == nil {
		return 0, nil
	}
	return l.term, l.committed
}

// NotLeadingReason returns why it holds the lease and does not lead yet, "" if it leads or does not hold the lease.
func (l *Leader) NotLeadingReason() string { return l.notLeadingReason }

// BecomeLeader takes leadership under a term of the lease: it reads the record from the voters.
func (l *Leader) BecomeLeader(now int64, term uint64) {
	l.StepDown()
	l.term = term
	l.leadingSince = now
	l.voterStates = map[string]VoterState{}
	l.acknowledged = map[string]bool{}
	l.voterIncarnations = map[string]uint64{}
	l.trackers = map[string]*planTracker{}
	l.nextReadAt = now
	l.notLeadingReason = "it reads what voters keep"
	l.Tick(now)
}

// ExtendTerm continues under a later term of the same holder: no other instance has led in between, so nothing has to
// be read.
func (l *Leader) ExtendTerm(now int64, term uint64) {
	if l.committed == nil {
		l.BecomeLeader(now, term)
		return
	}
	l.term = term
	l.record.Term = term
	l.record.Seq = 0
	l.inFlight = nil
	l.changed = true
	for i := range l.pendingReplies {
		l.pendingReplies[i].seq = 1
	}
	l.replicate(now)
}

// StepDown ends its leadership; members are not notified, since another instance may lead.
func (l *Leader) StepDown() {
	l.term = 0
	l.record = nil
	l.inFlight = nil
	l.committed = nil
	l.changed = false
	l.pendingReplies = nil
	l.notLeadingReason = ""
}

// Tick does what is due. It must be called several times a second.
func (l *Leader) Tick(now int64) {
	if l.term == 0 {
		return
	}
	if l.record == nil {
		l.tickRecovery(now)
		return
	}
	l.replicate(now)
	if l.committed == nil {
		// Writes must name a voter's present process. Until reports arrive, only a read shows that a voter has
		// restarted.
		if now >= l.nextReadAt {
			l.readVoters(now, func(voter string) bool { return l.acknowledged[voter] })
		}
		return
	}
	if now >= l.nextStatementAt {
		l.nextStatementAt = now + statementInterval
		l.sendStatements(nil)
	}
	l.advancePlans(now)
	l.replicate(now)
}

// advancePlans advances each plan that has not ended. Unavailable units are counted once for all plans of routers, at
// the first of them, and once for all plans of nodes. Each slot that is granted is added to its count at once.
func (l *Leader) advancePlans(now int64) {
	var routers, nodes *unavailability
	for _, p := range l.record.Plans {
		switch {
		case p.State.Ended():
		case p.Plan.Kind == KindNodes:
			if nodes == nil {
				nodes = l.countUnavailable(now, true)
			}
			l.advancePlan(now, p, nodes)
		default:
			if routers == nil {
				routers = l.countUnavailable(now, false)
			}
			l.advancePlan(now, p, routers)
		}
	}
}

func (l *Leader) advancePlan(now int64, p *Progress, u *unavailability) {
	tracker := l.tracker(now, p)
	for i := range p.Units {
		l.advanceUnit(now, p, i)
	}
	switch p.State {
	case StateRunning:
		inconclusive, evidence := tracker.analysis.evaluate()
		if evidence != "" {
			l.haltByEvidence(now, p, evidence)
			return
		}
		l.advanceWave(now, p, u, inconclusive)
	case StateRollingBack:
		l.advanceRollback(now, p, u)
	}
	underWay := p.State == StateRunning || p.State == StateRollingBack
	if underWay && now-tracker.lastProgressAt > p.Plan.ProgressTimeout && tracker.watchedSince == 0 {
		l.haltWithoutProgress(now, p)
	}
}

// tracker returns a plan's tracker, a new one that starts now if there is none.
func (l *Leader) tracker(now int64, p *Progress) *planTracker {
	if tracker := l.trackers[p.Plan.ID]; tracker != nil {
		return tracker
	}
	tracker := &planTracker{lastProgressAt: now, analysis: newCanaryAnalysis(), phaseSince: make([]int64, len(p.Units))}
	for i := range tracker.phaseSince {
		tracker.phaseSince[i] = now
	}
	l.trackers[p.Plan.ID] = tracker
	return tracker
}

// haltByEvidence rolls back a plan of versions unless NoRollback is set, and halts any other plan.
func (l *Leader) haltByEvidence(now int64, p *Progress, evidence string) {
	if p.Plan.Kind == KindVersion && !p.Plan.NoRollback {
		l.setState(now, p, StateRollingBack, evidence)
		return
	}
	l.setState(now, p, StateHalted, evidence)
}

// maxNamedUnits is the number of units that a halted plan's reason names: enough for an operator to start with, in a
// line short enough to read.
const maxNamedUnits = 5

// haltWithoutProgress halts a plan that makes no progress. The reason names units that hold a slot with the condition
// that each has yet to meet or, if no unit holds one, why none could leave. A plan that is rolling back is not halted:
// its units that hold a slot become stuck, and those that still have to be rolled back are tried again at each tick.
func (l *Leader) haltWithoutProgress(now int64, p *Progress) {
	tracker := l.trackers[p.Plan.ID]
	if p.State == StateRollingBack {
		for i, unit := range p.Units {
			if unit.Phase.HoldsSlot() && unit.Phase != PhaseStuck {
				l.setPhase(now, p, i, PhaseStuck, l.unmetCondition(now, p, i))
			}
		}
		tracker.lastProgressAt = now
		return
	}
	var holders []string
	for i, unit := range p.Units {
		if unit.Phase.HoldsSlot() && unit.Phase != PhaseStuck && len(holders) < maxNamedUnits {
			holders = append(holders, fmt.Sprintf("%s is %v (%s)", p.Plan.Units[i], unit.Phase, l.unmetCondition(now, p, i)))
		}
	}
	reason := strings.Join(holders, ", ")
	if len(holders) == 0 {
		reason = "nobody may go out"
		if tracker.blockedBy != nil {
			reason = tracker.blockedBy.Error()
		}
	}
	seconds := float64(p.Plan.ProgressTimeout) / 1e6
	l.setState(now, p, StateHalted, fmt.Sprintf("no progress for %.0f s: %s", seconds, reason))
}

// setPhase changes a unit's phase, which counts as progress, and logs the reason.
func (l *Leader) setPhase(now int64, p *Progress, i int, to Phase, why string) {
	tracker := l.trackers[p.Plan.ID]
	p.Units[i].Phase = to
	tracker.lastProgressAt = now
	tracker.phaseSince[i] = now
	l.changed = true
	l.logf(p.Plan.ID, "%s %v: %s", p.Plan.Units[i], to, why)
}

// setState changes a plan's state, which counts as progress, and logs the reason.
func (l *Leader) setState(now int64, p *Progress, to State, why string) {
	tracker := l.trackers[p.Plan.ID]
	p.State = to
	p.Reason = why
	tracker.lastProgressAt = now
	tracker.watchedSince = 0
	l.changed = true
	l.logf(p.Plan.ID, "plan %s: %s", to, why)
}

// sendStatements sends statements from the committed record: to all members if before is nil, else to those that the
// change from the record before concerns.
func (l *Leader) sendStatements(before *Record) {
	drained := drainedNodes(l.committed)
	toAll := before == nil || !slices.Equal(drained, drainedNodes(before))
	leaving := l.leaveStatements()
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		statement := leaving[name]
		if statement == nil && !toAll {
			continue
		}
		if statement == nil {
			statement = &Statement{}
		}
		statement.Term = l.committed.Term
		statement.Seq = l.committed.Seq
		statement.DrainedNodes = drained
		l.emit(SendStatement{name, statement})
	}
}

// leaveStatements returns the statements for members that are to leave, by name.
func (l *Leader) leaveStatements() map[string]*Statement {
	leaving := map[string]*Statement{}
	for _, p := range l.committed.Plans {
		if p.Plan.Kind == KindNodes {
			continue
		}
		for i, unit := range p.Units {
			if unit.Phase == PhaseLeaving {
				leaving[p.Plan.Units[i]] = &Statement{
					Instruction:   InstructionLeave,
					Slot:          unit.Slot,
					Incarnation:   unit.Incarnation,
					TargetVersion: p.targetVersion(i),
				}
			}
		}
	}
	return leaving
}
