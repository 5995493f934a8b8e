// Package serve runs one router process. It reads the platform's configuration and the operator's file, creates and
// connects the router's components, and handles startup, configuration reloads and graceful shutdown.
//
//	starting   configuration read, components created, listening; commands are rejected because the router is starting up
//	ready      the first endpoint list is applied: discovery's, or the platform's if discovery sends none within a second
//	draining   on SIGTERM, SIGINT or a rollout's instruction: leases pass to other routers, and sessions close once their
//	           requests are answered
//	ended      no request is unanswered, or the platform is about to kill the process
//
// SIGHUP reloads the configuration: the address of discovery, the cluster's keys and the lease voters change at once, all
// other changes take effect at the next start. SIGUSR1 prints the counters.
package serve
