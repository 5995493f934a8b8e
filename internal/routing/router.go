package routing

import (
	"encoding/binary"
	"hash/crc32"
	"maps"
	"slices"
)

const (
	// sweepInterval is the time, us, between two looks at all nodes and queues. It bounds how late a silent node or an
	// expired request is noticed: far under any latency objective.
	sweepInterval = 20_000
	// stallThreshold is the time, us, without a sweep from which the router itself is taken to have stood still (its
	// process had no processor, say): five sweeps. What was late then says nothing of the nodes.
	stallThreshold = 100_000
)

// Router decides for one process. See the package comment.
type Router struct {
	actions Actions
	random  seededDraws
	config  Config

	nodes      []*node          // by slot, in the order of sweeps; a forgotten node stays until its slot is reused
	freeSlots  []int            // slots of forgotten nodes
	nodeByName map[string]*node // without forgotten ones

	groups        []*commandGroup
	tenants       []*tenant
	shards        []*shard
	shardByNumber map[int]*shard
	requests      map[string]*request // those owed a final answer or with an attempt in flight
	sessions      sessionTokens
	stages        []stage

	endpointList      endpointListState
	healthCheckBudget float64 // health checks that may be sent now
	hedgingBudget     float64 // hedged attempts that may be sent now
	scarceUntil       int64   // until then nodes' connections are scarce and none is kept idle

	sweeps       int
	lastSweepAt  int64 // 0 before the first sweep, which therefore counts as the end of a standstill
	stallEndedAt int64 // end of this router's last standstill, 0 for none
}

// decision is what a stage makes of a request.
type decision uint8

const (
	proceed decision = iota // on to the next stage
	enqueue                 // wait in the shard's queue
	stop                    // nothing more to do now: it has its final answer, or an attempt in flight to wait for
)

// String names the decision for tests.
func (d decision) String() string {
	return enumName([]string{"proceed", "enqueue", "stop"}, int(d))
}

// stage is one step of the way of a request (package comment): request decides about it on its way out, outcome learns
// from an attempt's end on the way back; took is the time, us, from the attempt's start to its end.
type stage struct {
	request func(req *request, now int64) decision
	outcome func(a *attempt, outcome Outcome, took, now int64)
}

// New makes a Router that draws its chance from a seed; Configure comes before Start.
func New(seed uint64, actions Actions) *Router {
	return &Router{
		actions:       actions,
		random:        seededDraws{seed: seed},
		requests:      make(map[string]*request),
		nodeByName:    make(map[string]*node),
		shardByNumber: make(map[int]*shard),
	}
}

// Configure sets what the Router decides by. It is called once, before Start.
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

// Start begins the Router's work.
func (r *Router) Start(int64) {
	r.stages = []stage{
		{r.checkDeadline, r.handleAttemptFailure},
		{r.admit, r.adjustAdmission},
		{r.routeToPrimary, r.recordWritePosition},
		{r.selectReplica, r.recordOutcome},
		{r.startAttempt, r.closeAttempt},
	}
	for _, group := range r.groups {
		group.usualResponse = initialUsualResponse * float64(group.LatencyObjective)
	}
	r.healthCheckBudget = healthCheckBurst
	// Routers that start at once must not sweep at once: each begins at a chance moment.
	r.actions.SetTimer(1 + int64(r.random.below(sweepInterval)))
}

// RequestArrived takes a request; the Router owes it one final answer from here on.
func (r *Router) RequestArrived(now int64, arrived Request) {
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
	req.attempts = req.attemptSpace[:0]
	if group.Consistency == ReadYourWrites && r.config.ClientsCarryTokens && arrived.SinceWrite > 0 {
		req.sessionPosition = now - arrived.SinceWrite
	}
	r.setQueueTimes(req, arrived.TimeLeft, now)
	r.requests[req.id] = req
	r.hedgingBudget = min(hedgingBurst, r.hedgingBudget+hedgesPerRequest)
	r.healthCheckBudget = min(healthCheckBurst, r.healthCheckBudget+healthChecksPerRequest)
	r.runStages(req, now)
}

// AttemptEnded tells how an attempt ended. One that was reported before, or of an unknown request, is passed over.
func (r *Router) AttemptEnded(now int64, result AttemptResult) {
	req := r.requests[result.RequestID]
	if req == nil || result.Attempt < 0 || result.Attempt >= len(req.attempts) {
		return
	}
	ended := req.attempts[result.Attempt]
	if ended.ended {
		return
	}
	req.done = req.done || result.RequestDone
	took := result.Took
	if r.stallEndedAt == now || now-r.lastSweepAt > stallThreshold {
		took = min(took, int64(req.group.usualResponse)) // the router stood still: how long it really took isn't known
	}
	for i := len(r.stages) - 1; i >= 0; i-- {
		r.stages[i].outcome(ended, result.Outcome, took, now)
	}
	if req.done {
		r.finish(req)
	}
	r.dispatchWaiting(req.shard, now)
}

// ClientGone ends a request whose client left before its final answer.
func (r *Router) ClientGone(_ int64, requestID string) {
	req := r.requests[requestID]
	if req == nil || req.done {
		return
	}
	req.clientGone = true
	r.finish(req)
}

// Shutdown gives every request its final answer now, because the process will be ended before a node could answer.
// It goes by request id, so that the same state gives the same actions.
func (r *Router) Shutdown() {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if req := r.requests[id]; !req.done {
			r.giveUp(req)
		}
	}
}

// TimerFired is the periodic sweep: it looks for silent nodes and lost attempts, lets what is known of nodes fade with
// its age, and tries the queues again.
func (r *Router) TimerFired(now int64) {
	if now-r.lastSweepAt > stallThreshold {
		r.stallEndedAt = now
	}
	r.lastSweepAt = now
	r.sweeps++
	for i := range r.nodes {
		n := r.nodes[(i+r.sweeps)%len(r.nodes)] // another one first each time, for the health check budget goes in order
		switch {
		case n.forgotten:
		case r.mayForget(n, now):
			r.forget(n)
		default:
			r.checkResponsiveness(n, now)
			n.fadeOutlierFigures()
			r.averageWarmRate(n, now)
		}
	}
	r.dispatchAllWaiting(now)
	r.pollEndpoints(now)
	r.actions.SetTimer(sweepInterval)
}

// seededDraws is a source of chance that gives the same draws for the same seed.
type seededDraws struct {
	seed, drawn uint64
}

// below draws a number from 0 to n-1.
func (d *seededDraws) below(n int) int {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], d.seed)
	binary.LittleEndian.PutUint64(b[8:], d.drawn)
	d.drawn++
	return int(crc32.ChecksumIEEE(b[:]) % uint32(n))
}
