// Package supervisor runs an operator's command under a lease and sees to it that the command is over before the lease
// can pass on, whatever becomes of the process that asked for it.
//
// Three processes take part. The router holds the lease and says until when. The asker (cairntiller lease hold,
// RunWithLease) passes that on. The supervisor (Supervise) is a process between the asker and the command: it is told the
// end of the command's time over its standard input, and ends the command and all that came of it before that time is
// over. A timer within the asker would stop with the asker; this one ends the command even if both others are stopped or
// dead, and it kills a command that was stopped. If the supervisor itself is killed, the asker ends what it leaves behind.
//
// The command's states, as the supervisor sees them:
//
//	running ──the grace period begins, "end", or the asker is gone──▶ told to end (SIGTERM)
//	told to end ──half of the grace period is over──────────────────▶ killed, with all that it left behind
//	any ──it ends by itself─────────────────────────────────────────▶ what it left behind is killed
package supervisor
