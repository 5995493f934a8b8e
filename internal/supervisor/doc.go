// Package supervisor runs an operator's command under a lease and ensures that the command has ended before another
// instance can acquire the lease, whatever happens to the process that requested it.
//
// Three processes take part. The router holds the lease and reports until when. The parent (cairntiller lease hold,
// RunWithLease) forwards that time. The supervisor (Supervise) is a process between the parent and the command: it
// receives the command's deadline on its standard input, and ends the command and all of its descendants before the
// deadline. A timer in the parent would stop with the parent; the supervisor's ends the command even if the router and
// the parent are stopped or dead, and it also kills a stopped command. If the supervisor itself is killed, the parent
// kills the processes that it leaves behind.
//
// The states of the command in the supervisor:
//
//	running ──the grace period begins, "end", or the parent is gone──▶ terminating (SIGTERM sent)
//	terminating ──half of the grace period is over───────────────────▶ killed, with all remaining descendants
//	any ──the command exits──────────────────────────────────────────▶ remaining descendants are killed
package supervisor
