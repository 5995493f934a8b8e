package leaseservice

import "cairntiller/internal/metrics"

// Metrics of the lease service.
var (
	leasesAcquired       = metrics.New("leases held")
	leasesLost           = metrics.New("leases lost")
	yieldsRequested      = metrics.New("leases wanted by others")
	freeRequestsRefused  = metrics.New("requests to free a lease refused")
	messagesSent         = metrics.New("lease messages sent")
	messagesReceived     = metrics.New("lease messages received")
	messagesUnreadable   = metrics.New("lease messages unreadable")
	messagesDropped      = metrics.New("lease messages dropped, too many")
	messagesUnsent       = metrics.New("lease messages unsent")
	operationsRejected   = metrics.New("acts not begun, lease not held")
	operationsOverrun    = metrics.New("acts past their lease")
	clocksOutOfBound     = metrics.New("clocks outside the bound")
	voterStorageFailures = metrics.New("votes withheld, not stored")
)
