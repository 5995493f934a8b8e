package routing

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"slices"

	"cairntiller/internal/dense"
)

// verdict is what a stage makes of a command.
type verdict uint8

const (
	pass verdict = iota
	keep
	end
)

// stage is one part of the chain; down takes a command, up what came back of a dispatch.
type stage struct {
	down func(*cmd, int64) verdict
	up   func(c *cmd, n int, o Outcome, took, now int64)
}

// cmd is one command that the router owes a final answer, or whose dispatches are still out after it.
type cmd struct {
	id                         string
	group, tenant, shard       int
	session                    string
	arrived, deadline          int64
	holdUntil                  int64 // latest time at which it may still be waiting unsent
	prime                      int64 // latest time for sending it that is likely to meet the target
	need                       int64 // position its data must have reached; 0 for none
	doubt                      bool  // a write of its session may have been answered unseen
	value                      float64
	to                         int // node chosen for the next dispatch
	tries                      []try
	open                       int
	firstRun                   int64 // when the earliest dispatch that may have run was sent
	mayHaveRun                 bool
	held, done, late, admitted bool
	left                       bool // its client left before its time
	share                      bool // it took a part of its tenant's share
}

// try is one dispatch of a command.
type try struct {
	node      int
	sent      int64
	ended     bool
	withdrawn bool
	lost      bool // given up at its node: it holds no room there
}

// at tells whether a dispatch of a command is out at a node.
func (c *cmd) at(n int) bool {
	for i := range c.tries {
		if t := &c.tries[i]; t.node == n && !t.ended {
			return true
		}
	}
	return false
}

// openTry names a dispatch that is out at a node.
type openTry struct {
	c *cmd
	n int
}

// nodes holds the figures about nodes, in parallel arrays under one dense index.
type nodes struct {
	index    map[string]int
	id       []string
	zone     []string
	kind     []string
	shard    []int
	state    []EndpointState
	listed   []int   // number of the last list that named it
	lead     []bool  // marked primary by the list
	started  []int64 // last start, 0 for long ago
	pos      []int64 // highest proven position
	posAt    []int64 // when it was last told
	lag      []int64
	role     []Role
	roleAt   []int64
	out      []int
	open     [][]openTry
	limit    []float64
	slow     []float64 // response time relative to the usual of the command's group
	errs     []float64
	answered []int64 // last sign of work done
	refused  []int64 // first connection that it did not take since it last answered, 0 for none
	again    []bool  // it was not the only one
	suspect  []bool
	restTill []int64 // gets nothing before
	probedAt []int64
	probing  []bool
	rate     []float64 // work answered a second, in us, lately
	ratedAt  []int64
	warmRate []float64 // the same as it mostly was while the node was warm
	credit   []float64 // work a cold node may still be sent
	creditAt []int64
	quietAt  []int64 // when a peer last had no answer of it, 0 for none since it had one
	left     []bool  // a peer looks after it while it is silent or lags
	goneAt   []int64 // when it left the list, 0 for not, -1 for an index that stands for no node
	free     []int   // such indexes
}

// add takes a node in, at an index that was given back where there is one.
func (s *nodes) add(id string, shard int) int {
	n := len(s.id)
	if k := len(s.free) - 1; k >= 0 {
		n, s.free = s.free[k], s.free[:k]
	}
	s.index[id] = n
	dense.Put(&s.id, n, id)
	dense.Put(&s.zone, n, "")
	dense.Put(&s.kind, n, "")
	dense.Put(&s.shard, n, shard)
	dense.Put(&s.state, n, Up)
	dense.Put(&s.listed, n, 0)
	dense.Put(&s.lead, n, false)
	dense.Put(&s.started, n, 0)
	dense.Put(&s.pos, n, 0)
	dense.Put(&s.posAt, n, 0)
	dense.Put(&s.lag, n, 0)
	dense.Put(&s.role, n, RoleUnknown)
	dense.Put(&s.roleAt, n, 0)
	dense.Put(&s.out, n, 0)
	dense.Put(&s.open, n, nil)
	dense.Put(&s.limit, n, 0)
	dense.Put(&s.slow, n, 1)
	dense.Put(&s.errs, n, 0)
	dense.Put(&s.answered, n, 0)
	dense.Put(&s.refused, n, 0)
	dense.Put(&s.again, n, false)
	dense.Put(&s.suspect, n, false)
	dense.Put(&s.restTill, n, 0)
	dense.Put(&s.probedAt, n, 0)
	dense.Put(&s.probing, n, false)
	dense.Put(&s.rate, n, 0)
	dense.Put(&s.ratedAt, n, 0)
	dense.Put(&s.warmRate, n, 0)
	dense.Put(&s.credit, n, 0)
	dense.Put(&s.creditAt, n, 0)
	dense.Put(&s.quietAt, n, 0)
	dense.Put(&s.left, n, false)
	dense.Put(&s.goneAt, n, 0)
	return n
}

// forget drops a node that is gone and on which nothing is out; its index may stand for another from now on.
func (r *Router) forget(n int) {
	s, sh := &r.node, r.node.shard[n]
	r.shard.members[sh] = slices.DeleteFunc(r.shard.members[sh], func(m int) bool { return m == n })
	if r.shard.primary[sh] == n {
		r.shard.primary[sh] = -1
	}
	s.goneAt[n], s.state[n], s.suspect[n], s.lag[n] = -1, Removed, false, 0
	delete(s.index, s.id[n])
	s.free = append(s.free, n)
	r.act.ForgetNode(s.id[n])
}

// move takes a node that the list puts into another node group there: what it proved and led was of the other.
func (r *Router) move(n, sh int) {
	s, from := &r.node, r.node.shard[n]
	r.shard.members[from] = slices.DeleteFunc(r.shard.members[from], func(m int) bool { return m == n })
	r.shard.members[sh] = append(r.shard.members[sh], n)
	if r.shard.primary[from] == n {
		r.shard.primary[from] = -1
	}
	s.shard[n], s.role[n], s.roleAt[n], s.lead[n], s.pos[n], s.posAt[n], s.lag[n] = sh, RoleUnknown, 0, false, 0, 0, 0
}

// NodeStatus tells what is known of a node: its role, whether it is suspected, and its highest proven position, us in Unix
// time.
func (r *Router) NodeStatus(id string) (role Role, suspect bool, pos int64) {
	n, known := r.node.index[id]
	if !known {
		return RoleUnknown, false, 0
	}
	return r.node.role[n], r.node.suspect[n], r.node.pos[n]
}

// rateAt is a node's rate now, having faded over a span.
func (s *nodes) rateAt(n int, now int64, span float64) float64 {
	s.rate[n] *= max(0, 1-float64(now-s.ratedAt[n])/span)
	s.ratedAt[n] = now
	return s.rate[n]
}

// begin notes that a command's next dispatch is out at a node.
func (s *nodes) begin(c *cmd, n int, now int64) {
	c.tries = append(c.tries, try{node: n, sent: now})
	c.open++
	s.out[n]++
	s.open[n] = append(s.open[n], openTry{c, len(c.tries) - 1})
}

// close forgets that a dispatch is out at its node.
func (s *nodes) close(c *cmd, n int) {
	c.tries[n].ended = true
	c.open--
	at := c.tries[n].node
	for i, o := range s.open[at] {
		if o.c == c && o.n == n {
			s.open[at] = append(s.open[at][:i], s.open[at][i+1:]...)
			if !c.tries[n].lost {
				s.out[at]--
			}
			return
		}
	}
}

// groups holds what is known of each command group.
type groups struct {
	effect     []Idempotency
	everywhere []bool // any node drops repeats, not only those of the same node group
	level      []Consistency
	bound      []int64
	window     []int64
	targets    []int64
	timeout    []int64
	firstLeft  []int64 // the time that clients mostly leave for a try, as they do for a first one
	firstLead  []int   // how many more tries had it than had not
	benefit    []float64
	lateWorth  []float64
	usual      []float64 // usual response time
	samples    []float64
}

// shortest is the usual response of the command group that is answered soonest; 0 where there is none.
func (g *groups) shortest() float64 {
	if len(g.usual) == 0 {
		return 0
	}
	return slices.Min(g.usual)
}

// tenants holds each tenant's share of a second and what it has left of it.
type tenants struct {
	quota     []float64
	left      []float64
	leftAt    []int64
	overWorth float64
}

// shards holds what is known of each node group.
type shards struct {
	number  map[int]int
	members [][]int
	primary []int     // believed primary, -1 for none
	headAt  []int64   // when a primary last showed itself
	gate    []float64 // share of the reads that is let in
	credit  []float64 // of it, what has come together
	askedAt []int64   // when a member was last asked for the primary
	turn    []int     // rotation among equals
	waiting [][]*cmd
}

// of is the index of a node group; a new one starts its rotation by chance.
func (s *shards) of(wire int, chance func(int) int) int {
	if n, known := s.number[wire]; known {
		return n
	}
	n := len(s.members)
	s.number[wire] = n
	s.members = append(s.members, nil)
	s.primary = append(s.primary, -1)
	s.headAt = append(s.headAt, 0)
	s.askedAt = append(s.askedAt, 0)
	s.gate = append(s.gate, 1)
	s.credit = append(s.credit, 0)
	s.turn = append(s.turn, chance(1<<16))
	s.waiting = append(s.waiting, nil)
	return n
}

// tokens remembers the position of each session's last write, in two generations; what falls out
// of the older one is stood for by its highest position.
type tokens struct {
	young, old map[string]int64
	floor      int64
	out        map[string]writing // sessions whose writes are out
}

// writing is what a session has written and not had the end of.
type writing struct {
	dispatches int
	first      int64 // when the first of them was sent
}

func (t *tokens) began(session string, now int64) {
	if t.out == nil {
		t.out = make(map[string]writing)
	}
	w := t.out[session]
	t.out[session] = writing{w.dispatches + 1, cmp.Or(w.first, now)}
}

func (t *tokens) ended(session string) {
	if w := t.out[session]; w.dispatches > 1 {
		t.out[session] = writing{w.dispatches - 1, w.first}
	} else {
		delete(t.out, session)
	}
}

func (t *tokens) put(session string, pos int64, most int) {
	if t.young == nil || len(t.young) >= most {
		for _, p := range t.old {
			t.floor = max(t.floor, p)
		}
		t.old, t.young = t.young, make(map[string]int64)
	}
	t.young[session] = max(pos, t.young[session])
}

func (t *tokens) get(session string) int64 {
	return max(t.floor, t.young[session], t.old[session])
}

// Router is one instance of the decision module.
type Router struct {
	act  Actions
	seed uint64
	draw uint64

	zone     string
	siblings int
	tick     int64

	node   nodes
	group  groups
	tenant tenants
	shard  shards
	token  tokens
	cmds   map[string]*cmd

	maxDispatches          int
	withdraws              bool
	probes                 bool
	probePos, probeRole    bool
	carried                bool
	coldFor                int64
	coldFrom, fallMultiple float64
	fallWindow             float64
	droppedOpen            bool
	followAt               int64 // when to ask for the list again, 0 for not
	scarceTill             int64 // connections are kept only while in use before
	probesLeft, copiesLeft float64
	copies                 bool
	beat                   int
	beatAt, stalled        int64 // last beat, and the end of the router's last standstill
	listNo                 int   // lists read so far
	full                   bool  // the list being read is a full one
	chain                  []stage
}

// New makes an instance; the calls below it hand each part its values before Start.
func New(seed uint64, act Actions) *Router {
	r := &Router{act: act, seed: seed, cmds: make(map[string]*cmd)}
	r.node.index = make(map[string]int)
	r.shard.number = make(map[int]int)
	return r
}

// chance draws a number below n.
func (r *Router) chance(n int) int {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], r.seed)
	binary.LittleEndian.PutUint64(b[8:], r.draw)
	r.draw++
	return int(crc32.ChecksumIEEE(b[:]) % uint32(n))
}

// Configure sets what the Router decides by. It is called once, before Start.
func (r *Router) Configure(c Config) {
	r.zone, r.siblings, r.tick = c.Zone, max(c.Routers, 1), c.TimeResolution
	for _, g := range c.CommandGroups {
		r.addGroup(g)
	}
	for _, t := range c.Tenants {
		r.addTenant(t.Quota)
	}
	r.tenant.overWorth = c.OverQuotaWeight
	r.maxDispatches, r.withdraws, r.copies = c.Attempts.Max, c.Attempts.Cancelable, c.Attempts.Hedging
	r.probes = c.HealthChecks.Enabled
	r.probePos, r.probeRole = c.HealthChecks.ReportsPosition, c.HealthChecks.ReportsRole
	r.carried = c.ClientsCarryTokens
	r.coldFor, r.coldFrom = c.SlowStart.Duration, c.SlowStart.InitialCapacity
	r.fallMultiple, r.fallWindow = c.SlowStart.OverloadMultiple, float64(c.SlowStart.OverloadWindow)
	r.droppedOpen = c.UseVanishedNodes
	if c.PollEndpoints {
		r.followAt = 1
	}
}

// addGroup adds a command group; groups are numbered in this order.
func (r *Router) addGroup(c CommandGroupConfig) {
	g := &r.group
	g.effect = append(g.effect, c.Idempotency)
	g.everywhere = append(g.everywhere, c.DeduplicatedEverywhere)
	g.level = append(g.level, c.Consistency)
	g.bound = append(g.bound, c.MaxStaleness)
	g.window = append(g.window, c.IdempotencyWindow)
	g.targets = append(g.targets, c.LatencyObjective)
	g.timeout = append(g.timeout, c.Timeout)
	g.firstLeft = append(g.firstLeft, 0)
	g.firstLead = append(g.firstLead, 0)
	g.benefit = append(g.benefit, c.Weight)
	g.lateWorth = append(g.lateWorth, c.LateWeight)
	g.usual = append(g.usual, 0)
	g.samples = append(g.samples, 0)
}

// addTenant adds a tenant with its commands a second across all routers; numbered in this order.
func (r *Router) addTenant(quota float64) {
	r.tenant.quota = append(r.tenant.quota, quota)
	r.tenant.left = append(r.tenant.left, 0)
	r.tenant.leftAt = append(r.tenant.leftAt, 0)
}
