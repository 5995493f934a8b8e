// Package serve holds one running router: what the platform and the operator's file tell it, its parts, and how it
// starts, reloads its configuration and shuts down.
//
//	starting   configuration read, parts made, listening; commands are rejected as the router is starting up
//	ready      the first endpoint list is applied: discovery's own, or after a second without one the platform's
//	draining   SIGTERM, SIGINT or a rollout's turn: sessions end once all is answered, leases pass on to others
//	ended      nothing is owed any more, or the platform is about to kill the process
//
// SIGHUP reloads: the address of discovery, the cluster's keys and the lease voters change in service, all else at the
// next start. SIGUSR1 prints the counters.
package serve
