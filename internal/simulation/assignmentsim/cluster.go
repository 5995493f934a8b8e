package assignmentsim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"

	"cairntiller/internal/assignment"
)

// Step is the simulated time (us) between ticks.
const Step = 100_000

// What the membership library needs with the timing that internal/membership gives it, in us.
const (
	detectionMin  = 1_500_000 // least time until an instance finds out that another can't be reached
	detectionSpan = 2_000_000 // how much longer it may take
	joinSpan      = 600_000   // longest time until it finds out that another can be reached
)

// broadcastSteps is how many steps pass between an instance's broadcasts; the instances take turns.
const broadcastSteps = 5

// instancesAtOnce is how many instances one goroutine takes at a time.
const instancesAtOnce = 8

// Cluster is the simulated instances and nodes.
type Cluster struct {
	Now         int64   // us since the start
	Loss        float64 // probability that a batch of updates is lost on its way to one instance
	Duplication float64 // probability that it arrives twice
	MaxDelay    int64   // us that it may take at most

	// OnProbe, if set, is called at each probe.
	OnProbe func(at int64, instance, node int)
	// MessageSize, if set, gives the bytes that a broadcast takes.
	MessageSize func(origin string, updates []assignment.Update) int

	// Measured since the start or the last ResetMeasurements.
	PeakProbes  int32 // most probes of one node in one second
	TotalProbes int64
	UpdatesSent int64
	Broadcasts  int64
	BytesSent   int64 // of all broadcasts, by MessageSize

	taskConfig assignment.Config // of every instance, but for name and incarnation
	instances  []*instance
	nodes      []*node
	nodeByKey  map[string]int
	noRoute    map[[2]int]bool // ordered pairs of instances: what the first sends does not reach the second
	noNode     map[[2]int]bool // instance and node: its probes do not get there
	random     *rand.Rand
}

// node is a simulated node, which is probed.
type node struct {
	key         string // of its task
	dead        bool   // it answers nobody
	started     int64  // which process it is
	lastProbe   int64
	longestGap  int64 // longest time that it went unprobed
	probes      int64
	probesInSec int32 // in the second under way
}

// New makes instances and nodes, and starts all instances at once. interval is in us; maxRunRate and claimRate are as in
// assignment.Config.
func New(seed uint64, instances, nodes int, interval int64, maxRunRate, claimRate float64) *Cluster {
	c := &Cluster{
		MaxDelay: 600_000,
		taskConfig: assignment.Config{Weight: 1, Interval: interval, Instances: instances, MaxRunRate: maxRunRate,
			ClaimRate: claimRate},
		nodeByKey: map[string]int{},
		noRoute:   map[[2]int]bool{},
		noNode:    map[[2]int]bool{},
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range nodes {
		key := fmt.Sprintf("probe/s-%05d", i)
		c.nodes = append(c.nodes, &node{key: key})
		c.nodeByKey[key] = i
	}
	for i := range instances {
		c.instances = append(c.instances, &instance{
			name:   fmt.Sprintf("r%04d", i),
			random: rand.New(rand.NewPCG(seed, uint64(i)+1)),
			views:  make([]view, instances),
			inbox:  map[int64][]batch{},
		})
		c.Start(i)
	}
	return c
}

// Run lets simulated time (us) pass.
func (c *Cluster) Run(span int64) {
	for end := c.Now + span; c.Now < end; c.Now += Step {
		c.step()
	}
}

// step lets every instance find out who can be reached, tick and read, and then carries what they run and broadcast, in
// the order of the instances.
func (c *Cluster) step() {
	step := c.Now / Step
	c.updateViews()
	c.turns(step)
	if c.Now%1_000_000 == 0 {
		for _, n := range c.nodes {
			n.probesInSec = 0
		}
	}
	for i, in := range c.instances {
		if !in.running() {
			continue
		}
		if !in.muted {
			for _, run := range in.due {
				c.probe(i, in, run)
			}
		}
		if step%broadcastSteps == int64(i%broadcastSteps) && len(in.unsent) > 0 {
			c.broadcast(i, in)
		}
	}
	for _, n := range c.nodes {
		n.longestGap = max(n.longestGap, c.Now-n.lastProbe)
	}
}

// turns gives each instance its turn of a step, several at once: a turn touches nothing of the others.
func (c *Cluster) turns(step int64) {
	var workers sync.WaitGroup
	var lock sync.Mutex
	next := 0
	take := func() []*instance {
		lock.Lock()
		defer lock.Unlock()
		from := min(next, len(c.instances))
		next += instancesAtOnce
		return c.instances[from:min(next, len(c.instances))]
	}
	for range min(runtime.GOMAXPROCS(0), len(c.instances)) {
		workers.Go(func() {
			for some := take(); len(some) > 0; some = take() {
				for _, in := range some {
					in.turn(c, step)
				}
			}
		})
	}
	workers.Wait()
}

// probe lets an instance probe a node, and hands it the answer.
func (c *Cluster) probe(i int, in *instance, run assignment.DueRun) {
	index := c.nodeByKey[run.Key]
	n := c.nodes[index]
	n.lastProbe = c.Now
	n.probes++
	n.probesInSec++
	c.TotalProbes++
	c.PeakProbes = max(c.PeakProbes, n.probesInSec)
	if c.OnProbe != nil {
		c.OnProbe(c.Now, i, index)
	}
	update := assignment.Update{Key: run.Key, Position: c.Now + 1}
	if n.dead || c.noNode[[2]int{i, index}] {
		update.Unresponsive = true
		update.Position = 0
	}
	in.unsent = append(in.unsent, in.table.RecordRun(in.clock(c), update, run.SecondOpinion))
}

// broadcast sends what an instance learned to all that it can reach; ages grow on the way.
func (c *Cluster) broadcast(from int, in *instance) {
	c.Broadcasts++
	c.UpdatesSent += int64(len(in.unsent))
	if c.MessageSize != nil {
		c.BytesSent += int64(c.MessageSize(in.name, in.unsent))
	}
	for to, other := range c.instances {
		if from == to || !c.reaches(from, to) {
			continue
		}
		for copies := 1 + c.chance(c.Duplication) - c.chance(c.Loss); copies > 0; copies-- {
			readAt := (c.Now+1+c.random.Int64N(max(1, c.MaxDelay)))/Step + 1
			other.inbox[readAt] = append(other.inbox[readAt], batch{sentAt: c.Now, updates: in.unsent})
		}
	}
	in.unsent = nil
}

// chance is 1 with a probability, otherwise 0.
func (c *Cluster) chance(probability float64) int {
	if probability > 0 && c.random.Float64() < probability {
		return 1
	}
	return 0
}

// reaches reports whether what one instance sends reaches another, straight or over a third one.
func (c *Cluster) reaches(from, to int) bool {
	sender, receiver := c.instances[from], c.instances[to]
	if !sender.up || !receiver.up || sender.paused || sender.side != receiver.side {
		return false
	}
	if !c.noRoute[[2]int{from, to}] {
		return true
	}
	for via, third := range c.instances {
		if via == from || via == to || !third.running() || third.side != sender.side {
			continue
		}
		if !c.noRoute[[2]int{from, via}] && !c.noRoute[[2]int{via, to}] {
			return true
		}
	}
	return false
}

// updateViews lets each instance find out, each in its own time, which others can be reached.
func (c *Cluster) updateViews() {
	for i, in := range c.instances {
		if !in.running() {
			continue
		}
		for j, other := range c.instances {
			if i != j {
				reachable := c.reaches(j, i) && c.reaches(i, j) && !other.paused
				in.updateView(c, j, other, reachable)
			}
		}
	}
}
