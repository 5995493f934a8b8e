// Package assignment decides which instance runs a periodic task, such as a health check of a node, and how far an
// update from another instance can be trusted. It does no I/O and reads no clock: the caller reports events together
// with the time, in microseconds of any monotonic clock, and Table.Tick returns the runs that are due. The same
// sequence of calls always gives the same results.
//
// # Owner, target and term
//
// Each task has at most one owner in the view of this instance: the member that runs it. It also has a target: the
// member that should own it, which is the eligible member (alive and not slow) with the highest rendezvous hashing
// score. Owner and target are the same while membership is stable.
//
// A member becomes the owner by a claim. A claim increments the task's term, and every update about the task carries
// owner and term. Of two conflicting claims the greater one wins: the one with the later term or, within a term, with
// the higher score.
//
//	           claim (a reason below)               greater claim received
//	no owner ------------------------> this instance ------------------------> another member
//	    ^                                 |      ^                                    |
//	    |    this instance was paused     |      |      claim (a reason below)        |
//	    +---------------------------------+      +------------------------------------+
//
// An instance claims a task only for one of these reasons:
//
//   - It is the target, and the owner is unknown, lost, has left or is slow.
//   - It is the target and another member owns the task: the task is handed back, unless another member recently took it
//     over from this instance (claims.go, reclaimDelay).
//   - No update about the task has arrived for too long, and it is this instance's turn by rank (claims.go,
//     overdueIntervals). This requires neither the loss of the owner nor a target: it covers an owner that is alive but
//     runs nothing.
//   - The owner reports that the node does not respond, and a second opinion by this instance got a response.
//
// An instance that has just started or rejoined applies the first two reasons only after a delay (rejoin.go).
//
// # Network partitions
//
// Each side loses the other side's members and claims their tasks, so each side runs every task. A task is never without
// an owner, and running one twice is harmless. Each side lengthens its interval as far as necessary (interval.go) so that
// all sides together stay within the configured limit on the load of a node. When the partition heals, the greater claim
// wins, the other owner stops at the first update that it receives, and the instances of the smaller side wait as after
// a restart.
//
// # Restarts
//
// Nothing is stored, so a restart loses all state. Tasks come from the endpoint list, owners and terms from the updates
// of other instances; a restarted instance listens for one second before it claims anything. If all instances restart
// together, terms start again from zero.
package assignment
