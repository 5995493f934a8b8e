package backend

import "cairntiller/internal/metrics"

// Counters, in the order in which they are printed.
var (
	attemptsSent              = metrics.New("attempts sent")
	healthChecksSent          = metrics.New("health checks sent")
	openedConnections         = metrics.New("node connections opened")
	failedConnections         = metrics.New("node connections failed")
	untrustedConnections      = metrics.New("node connections untrusted")
	repliesWithTrailingBytes  = metrics.New("replies with trailing bytes")
	attemptsWithoutDescriptor = metrics.New("attempts without descriptor")
	attemptsTooLate           = metrics.New("attempts too late to start")
)
