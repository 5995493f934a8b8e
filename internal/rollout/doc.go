// Package rollout decides what of a fleet may be out of service, when, and when to stop: routers that restart, a new
// version that goes round them, nodes that are drained and returned. It does no I/O, has no clock and starts no goroutine.
// A Leader, a Member and a Voter are fed with reports, answers, operators' commands and ticks, each with its time in
// microseconds, and TakeActions returns what to do. The same calls give the same actions. internal/rolloutservice carries
// them; docs/releases.md holds the argument for the budget, line by line.
//
// # Who decides
//
// The instance that holds the lease "releases" runs the Leader. What it decides it first writes to a majority of the voters,
// complete, under the lease's term (replication.go); only then does anybody hear of it. A later leader reads a majority,
// which shares a voter with the former one's, so it knows of every slot that was ever granted.
//
// # A plan's states
//
//	in             on                                                     it becomes
//	running        all waves are done and watched                         finished
//	running        evidence, where a version can go back                  going back
//	running        evidence otherwise                                     halted
//	running        no progress for the plan's ProgressTimeout             halted
//	running        an operator's halt                                     halted
//	halted         an operator's resume                                   running
//	running, halted, finished   an operator's back                        going back
//	going back     all touched units are back, and none is stuck          back
//	going back     no progress: units that hold a slot become stuck       going back
//
// Evidence is the canary analysis (canary.go): routers that the plan has touched do worse than those that it has not.
// Progress is a change of any unit's phase, of the plan's state or of its wave; a wave that is watched is not held to it.
// A unit that is done and has still to go back holds no slot. While it is out of sight it can't be sent (checkBudget) and
// does not become stuck, so that the plan goes on going back until the unit is in sight again or an operator forgets it. A
// finished plan goes back only under the leader that saw it finish (applyCommand).
//
// # A unit's phases
//
//	phase              operators see   it ends when
//	PhaseWaiting       waits           the budget allows a slot (grantSlot)
//	PhaseLeaving       going           it has left or is out of sight; a node: no router uses it any more, or an operator's return
//	PhaseUnavailable   away            a new process reports; a node: DrainTime is over, or an operator's return
//	PhaseReturning     returning       it has proven its health (missingProof); on the way back, also: it is sent again, or stuck
//	PhaseDone          done            a rollback sends it again, back to the previous version
//	PhaseStuck         stuck           it has proven its health after all, which a node hardly can (drainedNodes)
//	PhaseForgotten     forgotten       never; an operator's forget leads here from any phase
//
// A unit from PhaseLeaving to PhaseReturning, and in PhaseStuck, holds a slot of the disruption budget. A slot is freed by
// proof or by an operator, never by time alone. Only a unit in PhaseLeaving is told to leave (leaveStatements). A rollback
// returns a node that is leaving or unavailable at once, and on lack of progress turns every phase with a slot to
// PhaseStuck.
//
// A group of nodes here is a shard of package routing; the operators' word is kept.
//
// # Where to look
//
//   - plan.go: what an operator asks for, and the defaults; record.go: how plans stand
//   - waves.go: who is next, when a wave is over, when the leader hands over; budget.go: who may leave service at all
//   - unit.go: how a router proves that it is back; drain.go: the same of a node, and which nodes get nothing new
//   - canary.go: what counts as evidence against a version; rollback.go: the way back
//   - operator_command.go: what operators may ask; refusal.go: every reason for which that is refused, or a unit may not
//     leave service
//   - fleet.go: which members are in sight; replication.go: how a record is written, read and recovered
//   - leader.go: the lead's begin and end, and what is due at a tick; member.go, voter.go: the other instances' parts
//
// # What survives
//
// The Record survives a restart and a change of leader as long as a majority of voters keeps it: plans, phases, slots, the
// names of known members, tokens of operators' commands. Voters keep it in memory; one that starts anew says that it may
// have forgotten and is written to at once. A new leader starts afresh with the rest (planTracker, memberState): the
// canary's counts, how long a wave has been watched, how long a plan has made no progress, and since when each unit has
// been in its phase, so that the DrainTime of a drained node starts anew with each leader.
package rollout
