// Package assignmentsim simulates cooperating routers in one process: each has its own assignment.Table, clock and view of
// the others; what one learns reaches the rest late, out of order, twice or not at all; boxes count who probes them.
// It is for tests and proofs: time is simulated, equal seeds give equal runs, and faults are switched by the caller
// between steps.
package assignmentsim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"cairntiller/internal/assignment"
)

// Step is the simulated time between ticks, in us.
const Step = 100_000

// detectFrom and detectSpan bound how long an instance takes to find out that another can't be reached, and joinSpan
// that it can again: what the membership library needs with the figures that this project gives it.
const (
	detectFrom = 1_500_000
	detectSpan = 2_000_000
	joinSpan   = 600_000
)

// World is the simulated fleet.
type Cluster struct {
	Now   int64 // us since the start
	Loss  float64
	Twice float64
	Slow  int64 // us that a batch may take at the most

	interval int64
	size     int
	boxLoad  float64
	takeRate float64
	list     []*instance
	keys     []string
	box      map[string]int
	dead     []bool // boxes that answer nobody
	started  []int64
	last     []int64 // last probe of each box
	gap      []int64 // longest time that each went unprobed
	probes   []int64
	second   []int32 // probes of each box in the second under way
	Peak     int32   // most probes of one box in one second
	Total    int64
	Words    int64 // words sent
	Batches  int64 // batches sent
	Weigh    func(origin string, words []assignment.Update) int
	Bytes    int64         // of all batches, by Weigh
	Spent    time.Duration // wall time in all tables together
	probeLog func(at int64, instance, box int)
	blindSet map[[2]int]bool
	oneWay   map[[2]int]bool
	rng      *rand.Rand
}

type instance struct {
	name    string
	table   *assignment.Table
	born    uint64
	off     int64 // its clock against the world's
	up      bool
	stopped bool
	side    int // instances of different sides can't reach each other
	views   []view
	inbox   map[int64][]batch // by the step in which it is read
	kept    []batch           // what came while it stood still
	out     []assignment.Update
	runs    []assignment.DueRun
	rng     *rand.Rand
	spent   time.Duration
	lost    map[string]bool // words of its own that never leave, by box
	mute    bool            // it runs nothing though its heart beats
	told    bool
}

// view is what an instance believes of another, and what it will find out.
type view struct {
	alive bool
	born  uint64
	reach bool
	at    int64 // when it finds out
}

type batch struct {
	words []assignment.Update
	at    int64
}

// New makes instances and boxes; all instances start at once unless they are stopped first.
func New(seed uint64, instances, boxes int, interval int64, boxLoad, takeRate float64) *Cluster {
	w := &Cluster{interval: interval, size: instances, boxLoad: boxLoad, takeRate: takeRate, Slow: 600_000,
		box: map[string]int{}, blindSet: map[[2]int]bool{}, oneWay: map[[2]int]bool{},
		rng: rand.New(rand.NewPCG(seed, 0))}
	for b := range boxes {
		key := fmt.Sprintf("probe/s-%05d", b)
		w.box[key] = b
		w.keys = append(w.keys, key)
	}
	w.dead, w.started = make([]bool, boxes), make([]int64, boxes)
	w.last, w.gap, w.probes = make([]int64, boxes), make([]int64, boxes), make([]int64, boxes)
	w.second = make([]int32, boxes)
	for i := range instances {
		in := &instance{name: fmt.Sprintf("r%04d", i), rng: rand.New(rand.NewPCG(seed, uint64(i)+1)),
			views: make([]view, instances), inbox: map[int64][]batch{}}
		w.list = append(w.list, in)
		w.Start(i)
	}
	return w
}

// Start starts an instance, or starts it again under its name, knowing nothing.
func (w *Cluster) Start(i int) {
	in := w.list[i]
	in.born++
	in.up, in.stopped = true, false
	clear(in.inbox)
	in.kept, in.out = nil, nil
	in.table = assignment.New(in.clock(w), assignment.Config{Self: in.name, Weight: 1, Incarnation: in.born, Interval: w.interval,
		Instances: w.size, MaxRunRate: w.boxLoad, ClaimRate: w.takeRate})
	for b, key := range w.keys {
		in.table.AddTask(in.clock(w), key, w.started[b])
	}
	for j := range in.views {
		in.views[j] = view{}
	}
	in.told = false
}

// Kill ends an instance at once.
func (w *Cluster) Kill(i int) { w.list[i].up = false }

// Stop holds an instance still; Continue lets it go on, and read what came meanwhile.
func (w *Cluster) Stop(i int) { w.list[i].stopped = true }

// Continue lets a stopped instance go on.
func (w *Cluster) Continue(i int) { w.list[i].stopped = false }

// Side puts an instance behind a cut: only those of one side reach each other.
func (w *Cluster) Side(i, side int) { w.list[i].side = side }

// OneWay cuts what goes from one instance to another, or mends it.
func (w *Cluster) OneWay(from, to int, cut bool) {
	delete(w.oneWay, [2]int{from, to})
	if cut {
		w.oneWay[[2]int{from, to}] = true
	}
}

// Blind cuts an instance from one box.
func (w *Cluster) Blind(i, box int, cut bool) { w.blindSet[[2]int{i, box}] = cut }

// Mute makes an instance run nothing while its heart goes on beating.
func (w *Cluster) Mute(i int, on bool) { w.list[i].mute = on }

// Clock sets an instance's clock off the others'; it takes a new start.
func (w *Cluster) Clock(i int, off int64) {
	w.list[i].off = off
	w.Start(i)
}

// Box makes a box answer nobody, or again.
func (w *Cluster) Box(box int, dead bool) { w.dead[box] = dead }

// Replace puts another process behind a box's name; every instance is told by its list.
func (w *Cluster) Replace(box int) {
	w.started[box] = w.Now + 1
	for _, in := range w.list {
		if in.up {
			in.table.AddTask(in.clock(w), w.keys[box], w.started[box])
		}
	}
}

// OnProbe hears of each probe.
func (w *Cluster) OnProbe(do func(at int64, instance, box int)) { w.probeLog = do }

// Table is an instance's table, and Clock its time.
func (w *Cluster) Table(i int) *assignment.Table { return w.list[i].table }

// At is an instance's time.
func (w *Cluster) At(i int) int64 { return w.list[i].clock(w) }

// Key is a box's duty.
func (w *Cluster) Key(box int) string { return w.keys[box] }

func (in *instance) clock(w *Cluster) int64 { return w.Now + in.off + 1 }

// link tells whether what one sends can reach another, straight or over a third one.
func (w *Cluster) link(from, to int) bool {
	a, b := w.list[from], w.list[to]
	if !a.up || !b.up || a.stopped || a.side != b.side {
		return false
	}
	if !w.oneWay[[2]int{from, to}] {
		return true
	}
	for k, c := range w.list {
		if k != from && k != to && c.up && !c.stopped && c.side == a.side && !w.oneWay[[2]int{from, k}] &&
			!w.oneWay[[2]int{k, to}] {
			return true
		}
	}
	return false
}

// members lets each instance find out, each in its own time, who can be reached.
func (w *Cluster) members() {
	for i, in := range w.list {
		if !in.up || in.stopped {
			continue
		}
		for j, other := range w.list {
			if i == j {
				continue
			}
			v := &in.views[j]
			reach := w.link(j, i) && w.link(i, j) && !other.stopped
			if reach != v.reach {
				v.reach = reach
				v.at = w.Now + in.rng.Int64N(joinSpan)
				if !reach {
					v.at = w.Now + detectFrom + in.rng.Int64N(detectSpan)
				}
			}
			if w.Now < v.at {
				continue
			}
			now := in.clock(w)
			switch {
			case reach && (!v.alive || v.born != other.born):
				joined := !v.alive
				v.alive, v.born = true, other.born
				in.table.MemberUp(now, other.name, 1, other.born)
				if joined && !in.told { // the first that it joins hands over what it knows
					in.told = true
					if n := other.table.Rejoins(in.name); n > 0 {
						in.table.NoteRejoins(now, n)
					}
					in.receive(w, batch{words: other.knows(w), at: w.Now})
				}
			case !reach && v.alive:
				v.alive = false
				in.table.MemberDown(now, other.name, v.born, false)
			}
		}
	}
}

// knows is what an instance hands to one that joins.
func (in *instance) knows(w *Cluster) (words []assignment.Update) {
	for b, key := range w.keys {
		if holder, term, age := in.table.Owner(in.clock(w), key); age >= 0 {
			words = append(words, assignment.Update{Key: key, Owner: holder, Term: term, Age: age, NodeStarted: w.started[b],
				Position: max(1, w.Now-age)})
		}
	}
	return words
}

func (in *instance) receive(w *Cluster, b batch) {
	for _, one := range b.words {
		one.Age += w.Now - b.at
		in.table.HandleUpdate(in.clock(w), one)
	}
}

// turn is one step of one instance; it touches nothing of the others.
func (in *instance) turn(w *Cluster, step int64) {
	began := time.Now()
	now := in.clock(w)
	for _, b := range in.kept { // it lay unread, and looks as old as when it came
		for _, one := range b.words {
			in.table.HandleUpdate(now, one)
		}
	}
	in.kept = nil
	in.runs = in.table.Tick(now, in.runs)
	for _, b := range in.inbox[step] {
		in.receive(w, b)
	}
	delete(in.inbox, step)
	in.spent += time.Since(began)
}

// Run lets simulated time pass.
func (w *Cluster) Run(span int64) {
	for end := w.Now + span; w.Now < end; w.Now += Step {
		w.step()
	}
}

func (w *Cluster) step() {
	step := w.Now / Step
	w.members()
	var all sync.WaitGroup
	var next sync.Mutex
	at := 0
	for range min(runtime.GOMAXPROCS(0), len(w.list)) {
		all.Go(func() {
			for {
				next.Lock()
				from := at
				at += 8
				next.Unlock()
				if from >= len(w.list) {
					return
				}
				for _, in := range w.list[from:min(from+8, len(w.list))] {
					if in.up && !in.stopped {
						in.turn(w, step)
					} else if in.up { // its socket keeps what comes
						for _, b := range in.inbox[step] {
							b.words = append([]assignment.Update(nil), b.words...) // the other receivers have the same
							for n := range b.words {
								b.words[n].Age += w.Now - b.at
							}
							in.kept = append(in.kept, b)
						}
						delete(in.inbox, step)
					}
				}
			}
		})
	}
	all.Wait()
	if w.Now%1_000_000 == 0 {
		clear(w.second)
	}
	for i, in := range w.list {
		if !in.up || in.stopped {
			continue
		}
		if !in.mute {
			for _, r := range in.runs {
				w.probe(i, in, r)
			}
		}
		if step%5 == int64(i%5) && len(in.out) > 0 {
			w.spread(i, in)
		}
	}
	for b, at := range w.last {
		w.gap[b] = max(w.gap[b], w.Now-at)
	}
}

func (w *Cluster) probe(i int, in *instance, r assignment.DueRun) {
	b := w.box[r.Key]
	w.last[b] = w.Now
	w.probes[b]++
	w.Total++
	if w.second[b]++; w.second[b] > w.Peak {
		w.Peak = w.second[b]
	}
	if w.probeLog != nil {
		w.probeLog(w.Now, i, b)
	}
	word := assignment.Update{Key: r.Key, Unresponsive: w.dead[b] || w.blindSet[[2]int{i, b}], Position: w.Now + 1}
	if word.Unresponsive {
		word.Position = 0
	}
	in.out = append(in.out, in.table.RecordRun(in.clock(w), word, r.SecondOpinion))
}

// spread sends what an instance learnt to all it can reach; ages grow on the way.
func (w *Cluster) spread(i int, in *instance) {
	w.Batches++
	w.Words += int64(len(in.out))
	if w.Weigh != nil {
		w.Bytes += int64(w.Weigh(in.name, in.out))
	}
	for j, other := range w.list {
		if i == j || !w.link(i, j) {
			continue
		}
		for copies := 1 + chance(w.rng, w.Twice) - chance(w.rng, w.Loss); copies > 0; copies-- {
			at := (w.Now+1+w.rng.Int64N(max(1, w.Slow)))/Step + 1
			b := batch{at: w.Now, words: in.out}
			if other.stopped {
				b.words = append([]assignment.Update(nil), in.out...)
			}
			other.inbox[at] = append(other.inbox[at], b)
		}
	}
	in.out = nil
}

func chance(r *rand.Rand, p float64) int {
	if p > 0 && r.Float64() < p {
		return 1
	}
	return 0
}

// Longest is the longest time that any box went unprobed, in us, since the last Mark.
func (w *Cluster) Longest() (longest int64, box int) {
	for b, g := range w.gap {
		if g > longest {
			longest, box = g, b
		}
	}
	return longest, box
}

// Mark begins to measure anew.
func (w *Cluster) Mark() {
	clear(w.gap)
	for b := range w.last {
		w.last[b] = w.Now
	}
	clear(w.probes)
	w.Peak, w.Total, w.Words, w.Batches, w.Bytes = 0, 0, 0, 0, 0
	for _, in := range w.list {
		in.spent = 0
	}
}

// Probes is how often a box was probed since the last Mark.
func (w *Cluster) Probes(box int) int64 { return w.probes[box] }

// Busy is the wall time that tables took on average since the last Mark.
func (w *Cluster) Busy() time.Duration {
	var sum time.Duration
	for _, in := range w.list {
		sum += in.spent
	}
	return sum / time.Duration(len(w.list))
}

// Moves is how often duties changed their target in an instance's view, and Falls how many one is the target of.
func (w *Cluster) Moves(i int) int64 {
	return w.list[i].table.Stats(w.At(i)).TargetChanges
}

// Falls is for the instance of, in the view of another.
func (w *Cluster) Falls(view, of int) int { return w.list[view].table.TargetedTasks(w.list[of].name) }

// Owners is how many live instances hold a box's duty.
func (w *Cluster) Owners(box int) (n int) {
	for _, in := range w.list {
		if in.up && !in.stopped && in.table.Owns(w.keys[box]) {
			n++
		}
	}
	return n
}
