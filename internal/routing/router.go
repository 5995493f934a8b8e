package routing

import (
	"encoding/binary"
	"hash/crc32"
	"maps"
	"slices"
)

const (
	// sweepInterval is the period of TimerFired, in microseconds. It bounds how late a silent node or an expired
	// request is noticed and is far below any latency objective.
	sweepInterval = 20_000
	// stallThreshold is the time without a sweep, in microseconds, after which the router process itself is assumed to
	// have stalled (for example, without CPU time): five sweep intervals. Responses delayed by a stall say nothing
	// about the nodes.
	stallThreshold = 100_000
)

// Router makes the routing decisions of one process. See the package comment.
type Router struct {
	actions Actions
	random  seededRandom
	config  Config

	nodes      []*node          // indexed by slot, in sweep order; forgotten nodes keep their slot until it is reused
	freeSlots  []int            // slots of forgotten nodes, available for reuse
	nodeByName map[string]*node // excludes forgotten nodes

	groups         []*commandGroup
	tenants        []*tenant
	shards         []*shard
	shardByNumber  map[int]*shard
	unlistedShards int
	requests       map[string]*request // requests without a final answer or with an attempt in flight
	sessions       sessionTokens
	executedIDs    executedIDs
	stages         []stage

	endpointList           endpointListState
	healthCheckBudget      float64 // remaining budget, in health checks
	hedgingBudget          float64 // remaining budget, in hedged attempts
	connectionsScarceUntil int64   // until then node connections are scarce and no idle ones are kept

	sweeps       int
	lastSweepAt  int64 // 0 before the first sweep, which therefore counts as the end of a stall
	stallEndedAt int64 // end of this router's last stall, 0 if none
}

// decision is the result of a stage for a request.
type decision uint8

const (
	proceed decision = iota // continue with the next stage
	enqueue                 // wait in the shard's queue
	stop                    // leave the stages: the request has its final answer, or waits for an attempt in flight
)

// String returns the decision's name, for tests.
func (d decision) String() string {
	return enumName([]string{"proceed", "enqueue", "stop"}, int(d))
}

// stage is one step of the request pipeline described in the package comment. The request function decides whether a
// request continues; the outcome function processes the end of an attempt, where took is the attempt's duration in
// microseconds.
type stage struct {
	request func(req *request, now int64) decision
	outcome func(a *attempt, outcome Outcome, took, now int64)
}

// New returns a Router whose random choices are derived from seed. Call Configure before Start.
func New(seed uint64, actions Actions) *Router {
	return &Router{
		actions:       actions,
		random:        seededRandom{seed: seed},
		requests:      make(map[string]*request),
		nodeByName:    make(map[string]*node),
		shardByNumber: make(map[int]*shard),
	}
}

// Configure sets the router's configuration. It is called once, before Start.
func (r *Router) Configure(config Config) {
	config.Routers = max(config.Routers, 1)
	r.config = config
	for _, group := range config.CommandGroups {
		r.groups = append(r.groups, &commandGroup{CommandGroupConfig: group})
	}
	for _, tenantConfig := range config.Tenants {
		r.tenants = append(r.tenants, &tenant{quota: tenantConfig.Quota})
	}
	if config.PollEndpoints {
		r.endpointList.pollAt = 1
	}
}

// Start sets up the stages and schedules the first sweep.
func (r *Router) Start(int64) {
	r.stages = []stage{
		{r.checkDeadline, r.handleAttemptFailure},
		{r.admit, r.adjustAdmission},
		{r.routeToPrimary, r.recordWritePosition},
		{r.selectReplica, r.recordOutcome},
		{r.startAttempt, r.closeAttempt},
	}
	for _, group := range r.groups {
		group.avgResponseTime = initialResponseTimeShare * float64(group.LatencyObjective)
	}
	r.healthCheckBudget = healthCheckBurst
	// A random first delay keeps routers that start together from sweeping at the same time.
	r.actions.SetTimer(1 + int64(r.random.intN(sweepInterval)))
}

// RequestArrived accepts a request. From here on the Router owes it exactly one final answer.
func (r *Router) RequestArrived(now int64, arrived Request) {
	if r.repeatsExecuted(arrived) {
		r.actions.Fail(arrived.ID)
		return
	}
	group := r.groups[arrived.Group]
	req := &request{
		id:        arrived.ID,
		group:     group,
		tenant:    r.tenantAt(arrived.Tenant),
		shard:     r.shardFor(arrived.Shard),
		session:   arrived.Session,
		arrivedAt: now,
		deadline:  now + arrived.TimeLeft,
	}
	req.attempts = req.inlineAttempts[:0]
	if group.Consistency == ReadYourWrites && r.config.ClientsCarryTokens && arrived.SinceWrite > 0 {
		req.sessionPosition = now - arrived.SinceWrite
	}
	r.setQueueTimes(req, arrived.TimeLeft, now)
	r.requests[req.id] = req
	r.hedgingBudget = min(hedgingBurst, r.hedgingBudget+hedgesPerRequest)
	r.healthCheckBudget = min(healthCheckBurst, r.healthCheckBudget+healthChecksPerRequest)
	r.runStages(req, now)
}

// AttemptEnded processes the end of an attempt. It ignores unknown requests and attempts that already ended.
func (r *Router) AttemptEnded(now int64, result AttemptResult) {
	req := r.requests[result.RequestID]
	if req == nil || result.Attempt < 0 || result.Attempt >= len(req.attempts) {
		return
	}
	ended := req.attempts[result.Attempt]
	if ended.ended {
		return
	}
	ended.reportedPosition = result.Position
	r.recordExecution(req, result.Outcome)
	if result.Outcome == Withdrawn {
		req.withdrawn++
	}
	req.done = req.done || result.RequestDone
	took := result.Took
	if r.stallEndedAt == now || now-r.lastSweepAt > stallThreshold {
		took = min(took, int64(req.group.avgResponseTime)) // the router stalled, so the true response time is unknown
	}
	for i := len(r.stages) - 1; i >= 0; i-- {
		r.stages[i].outcome(ended, result.Outcome, took, now)
	}
	if req.done {
		r.finish(req)
	}
	r.dispatchQueued(req.shard, now)
}

// ClientGone ends a request whose client disconnected before the final answer.
func (r *Router) ClientGone(_ int64, requestID string) {
	req := r.requests[requestID]
	if req == nil || req.done {
		return
	}
	req.clientGone = true
	r.finish(req)
}

// Shutdown gives every open request its final answer immediately, because the process ends before a node could answer.
// Requests are processed in order of their IDs so that equal states give equal actions.
func (r *Router) Shutdown() {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if req := r.requests[id]; !req.done {
			r.giveUp(req)
		}
	}
}

// TimerFired runs the periodic sweep: it detects silent nodes and lost attempts, decays node statistics, and retries
// the queued requests.
func (r *Router) TimerFired(now int64) {
	if now-r.lastSweepAt > stallThreshold {
		r.stallEndedAt = now
	}
	r.lastSweepAt = now
	r.sweeps++
	for i := range r.nodes {
		n := r.nodes[(i+r.sweeps)%len(r.nodes)] // rotates which node uses the health check budget first
		switch {
		case n.forgotten:
		case r.canForget(n, now):
			r.forget(n)
		default:
			r.checkResponsiveness(n, now)
			n.decayOutlierStats()
			r.averageWarmRate(n, now)
		}
	}
	r.dispatchAllQueued(now)
	r.removeUnlistedShards()
	r.pollEndpoints(now)
	r.actions.SetTimer(sweepInterval)
}

// seededRandom is a pseudorandom source that returns the same sequence for the same seed.
type seededRandom struct {
	seed, draws uint64
}

// intN returns a pseudorandom number in [0, n).
func (d *seededRandom) intN(n int) int {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], d.seed)
	binary.LittleEndian.PutUint64(b[8:], d.draws)
	d.draws++
	return int(crc32.ChecksumIEEE(b[:]) % uint32(n))
}
