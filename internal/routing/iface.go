package routing

// Role is what a node says it is.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// EndpointState is what the endpoint list says of a node.
type EndpointState uint8

// The list states.
const (
	Up EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name        string
	Zone        string
	MachineKind string // nodes of one kind can do as much as each other
	Shard       int
	State       EndpointState
	Primary     bool  // the list marks it as its shard's primary
	StartedAt   int64 // when its process started, 0 for long ago
}

// GossipUpdate is what another router learnt of a node.
type GossipUpdate struct {
	Node     string
	LearntAt int64
	// Position is the node's position then, 0 for not told. The caller passes on no other process's of that node.
	Position int64
	Role     Role // Replica for a node that said it isn't the primary
	Silent   bool // the other router had no answer of it
	Alive    bool // the other router had an answer of it
}

// Request is a request as its client sent it.
type Request struct {
	ID      string
	Group   int    // index in Config.CommandGroups
	Tenant  int    // index in Config.Tenants; any other number for a tenant without quota
	Session string // empty for none
	// TimeLeft is how long, us, the client still waits.
	TimeLeft int64
	Shard    int // number of the shard that holds its data
	// SinceWrite is how long ago, us, the session's last write was answered; 0 for none. Read only where
	// Config.ClientsCarryTokens.
	SinceWrite int64
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	RequestID string
	Attempt   int // its number, in the order of Actions.StartAttempt
	Outcome   Outcome
	Took      int64 // us from its start to its end
	// RequestDone tells that the request has its final answer, or its client has left: nothing more may be started.
	RequestDone bool
}
