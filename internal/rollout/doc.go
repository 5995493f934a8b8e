// Package rollout controls which units of a fleet may be out of service, when they may leave it, and when a rollout
// stops: rolling restarts of routers, upgrades of routers to a new version, and draining and returning of nodes. It does
// no I/O, has no clock and starts no goroutine. Reports, answers, operators' commands and ticks are passed to a Leader, a
// Member and a Voter, each with its time in microseconds, and TakeActions returns what to do. The same calls give the same
// actions. internal/rolloutservice executes them; docs/releases.md derives the rules of the disruption budget.
//
// # Leadership
//
// The instance that holds the lease "releases" runs the Leader. The Leader writes each decision to a majority of the
// voters, as a complete record under the lease's term (replication.go), before any member is notified of it. A later
// leader reads from a majority too. The two majorities share a voter, so the later leader learns of every slot that was
// ever granted.
//
// # States of a plan
//
//	from           on                                                     to
//	running        all waves are done and watched                         finished
//	running        evidence against the version, rollback allowed         going back
//	running        evidence otherwise                                     halted
//	running        no progress for the plan's ProgressTimeout             halted
//	running        an operator's halt                                     halted
//	halted         an operator's resume                                   running
//	running, halted, finished   an operator's back                        going back
//	going back     all updated units are rolled back, and none is stuck   back
//	going back     no progress: units that hold a slot become stuck       going back
//
// Evidence comes from the canary analysis (canary.go): routers that the plan has updated do worse than those that it has
// not. Progress is a change of any unit's phase, of the plan's state or of its wave; the progress timeout does not apply
// while a wave is watched. A unit that is done and has yet to be rolled back holds no slot. While it is not reporting it
// can't be restarted (checkBudget) and does not become stuck, so the plan stays in the state going back until the unit
// reports again or an operator forgets it. A finished plan can be rolled back only under the leader that saw it finish
// (applyCommand).
//
// # Phases of a unit
//
//	phase              operators see   it ends when
//	PhaseWaiting       waits           the budget allows a slot (grantSlot)
//	PhaseLeaving       going           it has left or stopped reporting; a node: no router uses it any more, or an operator's return
//	PhaseUnavailable   away            a new process reports; a node: DrainTime is over, or an operator's return
//	PhaseReturning     returning       it is healthy (unmetCondition); in a rollback, also: it is restarted again, or stuck
//	PhaseDone          done            a rollback restarts it with the previous version
//	PhaseStuck         stuck           it is healthy after all, which a node hardly can become (drainedNodes)
//	PhaseForgotten     forgotten       never; an operator's forget leads here from any phase
//
// A unit from PhaseLeaving to PhaseReturning, and in PhaseStuck, holds a slot of the disruption budget. A slot is freed
// once the unit is healthy or by an operator, never by time alone. Only a unit in PhaseLeaving is instructed to leave
// (leaveStatements). A rollback returns a node that is leaving or unavailable at once, and on lack of progress changes
// every phase with a slot to PhaseStuck.
//
// A group of nodes here is a shard of package routing; operators call it a group.
//
// # Files
//
//   - plan.go: plans and their defaults; record.go: the state of plans
//   - waves.go: the order of units, the end of a wave, leadership transfer; budget.go: which units may leave service
//   - unit.go: when a router is back in service; drain.go: the same for nodes, and which nodes get no new commands
//   - canary.go: what counts as evidence against a version; rollback.go: the rollback
//   - operator_command.go: operators' commands; refusal.go: every reason for which a command is refused, or a unit may not
//     leave service
//   - fleet.go: which members are reporting; replication.go: how a record is written, read and recovered
//   - leader.go: the start and end of leadership, and the work of a tick; member.go, voter.go: the roles of the other
//     instances
//
// # Durability
//
// The Record survives a restart and a change of leader as long as a majority of voters keeps it: plans, phases, slots, the
// names of known members, and tokens of operators' commands. Voters keep it in memory; one that restarts reports that it
// may have forgotten the record, and is written to at once. A new leader starts without the rest (planTracker,
// memberState): the counts of the canary analysis, how long a wave has been watched, how long a plan has made no progress,
// and since when each unit has been in its phase, so that the DrainTime of a drained node starts anew with each leader.
package rollout
