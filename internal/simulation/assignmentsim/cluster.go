package assignmentsim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"

	"cairntiller/internal/assignment"
)

// Step is the simulated time between ticks, in us.
const Step = 100_000

// Detection times of the membership library with the settings of internal/membership, in us.
const (
	minDetectionTime      = 1_500_000 // minimum time until an instance detects that another is unreachable
	maxExtraDetectionTime = 2_000_000 // maximum additional time
	maxJoinTime           = 600_000   // maximum time until an instance detects that another is reachable
)

// broadcastSteps is the number of steps between broadcasts of an instance. Instances are staggered over these steps.
const broadcastSteps = 5

// chunkSize is the number of instances that a goroutine takes at a time.
const chunkSize = 8

// Cluster holds the simulated instances and nodes.
type Cluster struct {
	Now         int64   // simulated time since the start, us
	Loss        float64 // probability that a batch of updates to one instance is lost
	Duplication float64 // probability that such a batch arrives twice
	MaxDelay    int64   // maximum delay of a batch, us

	// OnProbe, if set, is called for each probe.
	OnProbe func(at int64, instance, node int)
	// MessageSize, if set, returns the size of a broadcast in bytes.
	MessageSize func(origin string, updates []assignment.Update) int

	// Measurements since the start or the last ResetMeasurements.
	PeakProbes  int32 // maximum number of probes of one node in one second
	TotalProbes int64
	UpdatesSent int64
	Broadcasts  int64
	BytesSent   int64 // total size of all broadcasts, by MessageSize

	taskConfig assignment.Config // of every instance, except for name and incarnation
	instances  []*instance
	nodes      []*node
	nodeByKey  map[string]int
	cutLinks   map[[2]int]bool // cut links, by sending and receiving instance
	cutProbes  map[[2]int]bool // cut links for probes, by instance and node
	random     *rand.Rand
}

// node is a simulated node, the target of probes.
type node struct {
	key              string // key of its task
	dead             bool   // it does not answer probes
	started          int64  // start time of its process, which identifies the process
	lastProbe        int64  // time of the last probe, us
	longestUnprobed  int64  // longest time without a probe, us
	probes           int64
	probesThisSecond int32 // probes in the current second
}

// New creates a cluster and starts all instances at the same time. interval is in us. maxRunRate and claimRate are as in
// assignment.Config.
func New(seed uint64, instances, nodes int, interval int64, maxRunRate, claimRate float64) *Cluster {
	c := &Cluster{
		MaxDelay: 600_000,
		taskConfig: assignment.Config{Weight: 1, Interval: interval, Instances: instances, MaxRunRate: maxRunRate,
			ClaimRate: claimRate},
		nodeByKey: map[string]int{},
		cutLinks:  map[[2]int]bool{},
		cutProbes: map[[2]int]bool{},
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

// Run advances the simulation by the given time (us).
func (c *Cluster) Run(span int64) {
	for end := c.Now + span; c.Now < end; c.Now += Step {
		c.step()
	}
}

// step simulates one step. Every instance updates its view of the others, ticks, and reads its inbox. Then due probes and
// broadcasts are executed in the order of the instances.
func (c *Cluster) step() {
	step := c.Now / Step
	c.updateViews()
	c.runInstances(step)
	if c.Now%1_000_000 == 0 {
		for _, n := range c.nodes {
			n.probesThisSecond = 0
		}
	}
	for i, in := range c.instances {
		if !in.running() {
			continue
		}
		if !in.tasksSuspended {
			for _, run := range in.due {
				c.probe(i, in, run)
			}
		}
		if step%broadcastSteps == int64(i%broadcastSteps) && len(in.unsent) > 0 {
			c.broadcast(i, in)
		}
	}
	for _, n := range c.nodes {
		n.longestUnprobed = max(n.longestUnprobed, c.Now-n.lastProbe)
	}
}

// runInstances runs the step of each instance, in parallel. This is safe because the step of an instance does not access
// the state of other instances.
func (c *Cluster) runInstances(step int64) {
	var workers sync.WaitGroup
	var mu sync.Mutex
	next := 0
	nextChunk := func() []*instance {
		mu.Lock()
		defer mu.Unlock()
		from := min(next, len(c.instances))
		next += chunkSize
		return c.instances[from:min(next, len(c.instances))]
	}
	for range min(runtime.GOMAXPROCS(0), len(c.instances)) {
		workers.Go(func() {
			for chunk := nextChunk(); len(chunk) > 0; chunk = nextChunk() {
				for _, in := range chunk {
					in.runStep(c, step)
				}
			}
		})
	}
	workers.Wait()
}

// probe executes an instance's probe of a node and records the result in its table.
func (c *Cluster) probe(i int, in *instance, run assignment.DueRun) {
	index := c.nodeByKey[run.Key]
	n := c.nodes[index]
	n.lastProbe = c.Now
	n.probes++
	n.probesThisSecond++
	c.TotalProbes++
	c.PeakProbes = max(c.PeakProbes, n.probesThisSecond)
	if c.OnProbe != nil {
		c.OnProbe(c.Now, i, index)
	}
	update := assignment.Update{Key: run.Key, Position: c.Now + 1}
	if n.dead || c.cutProbes[[2]int{i, index}] {
		update.Unresponsive = true
		update.Position = 0
	}
	in.unsent = append(in.unsent, in.table.RecordRun(in.clock(c), update, run.SecondOpinion))
}

// broadcast sends the unsent updates of an instance to all instances that it reaches. Receivers add the delay to their ages.
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

// chance returns 1 with the given probability, otherwise 0.
func (c *Cluster) chance(probability float64) int {
	if probability > 0 && c.random.Float64() < probability {
		return 1
	}
	return 0
}

// reaches reports whether messages of one instance reach another, either directly or through a third one.
func (c *Cluster) reaches(from, to int) bool {
	sender, receiver := c.instances[from], c.instances[to]
	if !sender.up || !receiver.up || sender.paused || sender.partition != receiver.partition {
		return false
	}
	if !c.cutLinks[[2]int{from, to}] {
		return true
	}
	for via, third := range c.instances {
		if via == from || via == to || !third.running() || third.partition != sender.partition {
			continue
		}
		if !c.cutLinks[[2]int{from, via}] && !c.cutLinks[[2]int{via, to}] {
			return true
		}
	}
	return false
}

// updateViews updates each instance's view of which others are reachable, each with its own detection delay.
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
