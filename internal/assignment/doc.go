// Package assignment decides which instance runs a periodic task, such as probing a node, and how far an update from
// another instance may be believed. It does no I/O and has no clock: its caller reports what happened together with the
// time, in microseconds of any clock that never goes backwards, and Table.Tick returns the runs that are due. The same
// calls in the same order give the same answers.
//
// # Owner, target and term
//
// Every task has at most one owner that this instance believes in: the member that runs it. It also has a target: the
// member that ought to own it, which is the one with the highest score by rendezvous hashing among the members that are
// alive and not slow. Owner and target are the same while nothing changes.
//
// A member becomes the owner by a claim. A claim raises the task's term by one, and every update about the task carries
// owner and term. Of two claims the greater one counts: the later term, and in one term the higher score.
//
//	           claim (a reason below)                  greater claim heard
//	no owner ------------------------> this instance ------------------------> another member
//	    ^                                 |      ^                                    |
//	    |    this instance was paused     |      |      claim (a reason below)        |
//	    +---------------------------------+      +------------------------------------+
//
// An instance claims a task for one of these reasons only:
//
//   - It is the target, and the owner is unknown, lost, has left or is slow.
//   - It is the target and another member owns the task: the task is handed back, unless another member took it over from
//     this instance lately (claims.go, reclaimDelay).
//   - No update about the task has come for too long, and it is this instance's turn by rank (claims.go, overdue). This
//     needs neither the owner's loss nor a target: it covers an owner that is alive and does nothing.
//   - The owner reports that the node does not respond, and this instance's second opinion got a response.
//
// An instance that has just started or rejoined claims for the first two reasons only after a wait (rejoin.go).
//
// # When the network is parted
//
// Each side loses the other side's members and claims their tasks, so each side runs every task. A task never goes
// without an owner, and running one twice is harmless. Each side makes its interval longer as far as it must (interval.go),
// so that all sides together stay within the operator's bound on the load of a node. When the parts meet again the greater
// claim wins, the other owner stops at its first update, and the instances of the smaller part wait as after a restart.
//
// # What a restart loses
//
// Everything: nothing is stored. Tasks come from the endpoint list, owners and terms from the updates of the others; a
// restarted instance listens for a second before it claims anything. If all restart together, the terms begin anew.
package assignment
