package routing

import "strconv"

// Config is the configuration of a Router; it doesn't change after Configure.
type Config struct {
	// Zone is the zone the router runs in; reads prefer nodes of the same zone. Empty if there is none.
	Zone string
	// Routers is the number of routers, including this one, that share the nodes; values below 1 count as 1.
	Routers int
	// TimeResolution is the step, in microseconds, to which event times may be rounded; 0 if they are exact.
	TimeResolution int64
	// CommandGroups are the command groups; requests refer to them by index.
	CommandGroups []CommandGroupConfig
	// SendDelay is the time, in microseconds, for which an attempt may wait for a connection before it is sent. Nodes
	// for BoundedStaleness reads are chosen so that their data is not too old after it either.
	SendDelay int64
	// Tenants are the tenants with a quota; requests refer to them by index.
	Tenants []TenantConfig
	// OverQuotaWeight, from 0 to 1, is multiplied into the priority weight of a request that exceeds its tenant's
	// quota.
	OverQuotaWeight float64
	Attempts        AttemptConfig
	HealthChecks    HealthCheckConfig
	SlowStart       SlowStartConfig
	// ClientsCarryTokens reports whether requests carry the age of their session's last write. Otherwise the router
	// keeps session tokens itself.
	ClientsCarryTokens bool
	// UseRemovedNodes keeps a node in use that left the endpoint list without draining.
	UseRemovedNodes bool
	// PollEndpoints reports whether the endpoint list must be requested through Actions.WatchEndpoints.
	PollEndpoints bool
}

// CommandGroupConfig describes one command group.
type CommandGroupConfig struct {
	Idempotency Idempotency
	// DeduplicatedEverywhere reports whether every node deduplicates requests by their key, not only the nodes of the
	// same shard.
	DeduplicatedEverywhere bool
	Consistency            Consistency
	// MaxStaleness is the maximum age, in microseconds, of the data that a BoundedStaleness read may see, relative to
	// the time it is sent.
	MaxStaleness int64
	// IdempotencyWindow is how long, in microseconds, a node remembers the key of an IdempotentWithKey request. It also
	// limits hedging of Idempotent requests: with 0 they are never hedged.
	IdempotencyWindow int64
	// LatencyObjective is the response time, in microseconds, up to which an answer has its full weight.
	LatencyObjective int64
	// Timeout is the total time, in microseconds, that a client waits, over all of its own attempts.
	Timeout int64
	// Weight is the priority weight of a request answered in time; queues are ordered by descending weight.
	Weight float64
	// LateWeight, from 0 to 1, is multiplied into Weight once the latency objective is missed; 0 if a late answer is
	// worthless.
	LateWeight float64
}

// TenantConfig describes one tenant.
type TenantConfig struct {
	// Quota is the number of requests per second that the tenant may send through all routers; 0 for no quota.
	Quota float64
}

// AttemptConfig limits the attempts of a request.
type AttemptConfig struct {
	// Max is the maximum number of attempts per request. It must be at least 1; with 0 every request is given up on
	// arrival.
	Max int
	// Cancelable reports whether the router can cancel an attempt.
	Cancelable bool
	// Hedging reports whether two attempts of one request may be in flight at once.
	Hedging bool
}

// HealthCheckConfig reports whether nodes may be health-checked and what their load reports contain.
type HealthCheckConfig struct {
	Enabled bool
	// ReportsPosition and ReportsRole report whether a load report contains the node's position and its role.
	ReportsPosition, ReportsRole bool
}

// SlowStartConfig describes how nodes warm up after a start. With the zero value nodes have full capacity immediately.
type SlowStartConfig struct {
	// Duration is the warm-up time in microseconds.
	Duration int64
	// InitialCapacity is the share of its full capacity, from 0 to 1, that a node has when it starts.
	InitialCapacity float64
	// OverloadMultiple is the multiple of a node's current capacity that makes it fail when sent within OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   int64 // in microseconds
}

// Idempotency describes whether a request may be executed more than once.
type Idempotency uint8

const (
	// Idempotent requests may be repeated any number of times.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests carry a key by which their shard detects duplicates during the idempotency window.
	IdempotentWithKey
	// NotIdempotent requests must not be sent again once they may have been executed.
	NotIdempotent
)

// String returns the name of the idempotency level, for logs and tests.
func (i Idempotency) String() string {
	return enumName([]string{"idempotent", "idempotent with key", "not idempotent"}, int(i))
}

// Consistency is the freshness that a read requires of its data; writes are a level of their own.
type Consistency uint8

const (
	// Eventual reads accept data of any age.
	Eventual Consistency = iota
	// BoundedStaleness reads accept data up to the command group's MaxStaleness old.
	BoundedStaleness
	// ReadYourWrites reads require data that includes the last write of their session.
	ReadYourWrites
	// Latest reads go to a node that answered as the primary, or that reported to be the primary while no answer has
	// shown its role.
	Latest
	// Write marks a command group of writes, which go only to the primary.
	Write
)

// String returns the name of the consistency level, for logs and tests.
func (c Consistency) String() string {
	return enumName([]string{"eventual", "bounded staleness", "read your writes", "latest", "write"}, int(c))
}

// enumName returns the name at index i, or the decimal index if it has no name.
func enumName(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}
