package routing

import "strconv"

// Config is what a Router decides by; it doesn't change after Configure.
type Config struct {
	// Zone is the zone the router runs in; reads prefer nodes of it. Empty for none.
	Zone string
	// Routers is how many routers, this one included, share the nodes; below 1 counts as 1.
	Routers int
	// TimeResolution is the step, us, to which the times in events may be rounded; 0 for exact ones.
	TimeResolution int64
	// CommandGroups are the kinds of request; requests name them by index.
	CommandGroups []CommandGroupConfig
	// Tenants are those with a quota; requests name them by index.
	Tenants []TenantConfig
	// OverQuotaWeight multiplies the priority weight of a request over its tenant's quota; 0 to 1.
	OverQuotaWeight float64
	Attempts        AttemptConfig
	HealthChecks    HealthCheckConfig
	SlowStart       SlowStartConfig
	// ClientsCarryTokens tells that requests bring the age of their session's last write; else the router remembers it.
	ClientsCarryTokens bool
	// UseVanishedNodes lets a node that left the endpoint list without draining be used further.
	UseVanishedNodes bool
	// PollEndpoints tells that the endpoint list comes only when asked for, by Actions.WatchEndpoints.
	PollEndpoints bool
}

// CommandGroupConfig describes one kind of request.
type CommandGroupConfig struct {
	Idempotency Idempotency
	// DeduplicatedEverywhere tells that any node drops repeats by their key, not only those of the same shard.
	DeduplicatedEverywhere bool
	Consistency            Consistency
	// MaxStaleness is how old, us, the data of a BoundedStaleness read may be when it is sent.
	MaxStaleness int64
	// IdempotencyWindow is how long, us, a node remembers the key of an IdempotentWithKey request. It bounds hedging of
	// Idempotent requests too: 0 means none.
	IdempotencyWindow int64
	// LatencyObjective is the time, us, within which an answer has its full weight.
	LatencyObjective int64
	// Timeout is how long, us, a client waits in all, over its own attempts.
	Timeout int64
	// Weight is the priority weight of a request that is answered in time; queues serve the greatest first.
	Weight float64
	// LateWeight multiplies Weight where the answer comes after the latency objective; 0 to 1, 0 where it is worth nothing.
	LateWeight float64
}

// TenantConfig describes one tenant.
type TenantConfig struct {
	// Quota is how many requests a second the tenant may send over all routers; 0 for no quota.
	Quota float64
}

// AttemptConfig tells what a request's attempts may do.
type AttemptConfig struct {
	// Max is how many attempts a request may have; at least 1, for with 0 every request is given up on arrival.
	Max int
	// Cancelable reports whether the router can stop waiting for an attempt.
	Cancelable bool
	// Hedging reports whether two attempts of one request may be in flight at once.
	Hedging bool
}

// HealthCheckConfig reports whether nodes may be checked and what their load reports hold.
type HealthCheckConfig struct {
	Enabled bool
	// ReportsPosition and ReportsRole tell that a load report holds the node's position, and its role.
	ReportsPosition, ReportsRole bool
}

// SlowStartConfig describes how nodes warm up after a start. The zero value means that they start warm.
type SlowStartConfig struct {
	// Duration is how long, us, warming up takes.
	Duration int64
	// InitialCapacity is the share of its full capacity that a node has as it starts; 0 to 1.
	InitialCapacity float64
	// OverloadMultiple is the multiple of its present capacity that breaks a node when it is sent within OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   int64 // us
}

// Idempotency tells how far a request may be executed more than once.
type Idempotency uint8

const (
	// Idempotent requests may be repeated at will.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests carry a key by which their shard recognises a repeat, for the idempotency window.
	IdempotentWithKey
	// NotIdempotent requests must not be sent again once they may have been executed.
	NotIdempotent
)

// String names the level for logs and tests.
func (i Idempotency) String() string {
	return enumName([]string{"idempotent", "idempotent with key", "not idempotent"}, int(i))
}

// Consistency is how new the data must be that a read sees; writes are a level of their own.
type Consistency uint8

const (
	// Eventual reads take any data.
	Eventual Consistency = iota
	// BoundedStaleness reads take data up to the command group's MaxStaleness old.
	BoundedStaleness
	// ReadYourWrites reads take data that holds the last write of their session.
	ReadYourWrites
	// Latest reads go to a node that answered as the primary, or reported to be it while no answer has shown its role.
	Latest
	// Write is no read: it goes to the primary alone.
	Write
)

// String names the level for logs and tests.
func (c Consistency) String() string {
	return enumName([]string{"eventual", "bounded staleness", "read your writes", "latest", "write"}, int(c))
}

// enumName is the name at an index, or the number itself where there is none.
func enumName(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}
