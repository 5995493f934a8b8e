package leaseservice

import "cairntiller/internal/metrics"

// What operators see of leases when they ask for the counters.
var (
	leasesAcquired      = metrics.New("leases held")
	leasesLost          = metrics.New("leases lost")
	yieldsRequested     = metrics.New("leases wanted by others")
	yieldsRefused       = metrics.New("requests to free a lease refused")
	messagesSent        = metrics.New("lease messages sent")
	messagesReceived    = metrics.New("lease messages received")
	messagesUnreadable  = metrics.New("lease messages unreadable")
	messagesDropped     = metrics.New("lease messages dropped, too many")
	messagesUnsent      = metrics.New("lease messages unsent")
	actsRejected        = metrics.New("acts not begun, lease not held")
	actsOverrun         = metrics.New("acts past their lease")
	clocksOutOfBound    = metrics.New("clocks outside the bound")
	voterStorageFailure = metrics.New("votes withheld, not stored")
)
