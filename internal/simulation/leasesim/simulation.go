package leasesim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairntiller/internal/lease"
	"cairntiller/internal/simulation/eventqueue"
)

const (
	tickInterval = 30_000 // us between a process's ticks, by chance up to half more or less
	day          = 86_400_000_000
	wallStart    = 1_800_000_000_000_000 // us of Unix time at the start of each run
)

// Message is what processes send one another.
type Message = lease.Message

// Figures are what a run measured.
type Figures struct {
	Events     int64
	Messages   int64
	Bytes      int64
	Holds      int64
	Losses     int64
	CarryOvers int64   // times that a lease was carried over to a later term
	HeldShare  float64 // of the time, over all leases
	Hash       uint64  // over all events
}

// Simulation is one run.
type Simulation struct {
	Scenario
	Now         int64  // true time, us
	Violation   string // the first rule that was broken, "" for none
	MessageSize func(Message) int
	Trace       func(at int64, what string)
	Observe     func(at int64, process string, action lease.Action) // each action, before it is carried out
	Measure     bool
	ModuleTime  []time.Duration // real time in each process's modules, where Measure is set

	rng           *rand.Rand
	processes     []*process
	processIndex  map[string]int
	leases        []*leaseTruth
	leaseIndex    map[string]int
	queue         eventqueue.Queue[event]
	digest        *xxhash.Digest
	figures       Figures
	voterSets     []lease.VoterSet // by number less one
	setChangeAt   int64            // when the set of voters may change again
	incarnations  uint64           // given out
	links         []link           // from*n + to
	lossRate      float64          // of messages
	duplicateRate float64          // of messages
	maxDelay      int64            // us that a message takes at most
	askedUnder    map[requestKey]uint64
	scratch       [32]byte
}

// eventKind is what happens.
type eventKind int8

const (
	tickEvent     eventKind = iota // a process's modules are ticked
	arrivalEvent                   // a message arrives
	startEvent                     // a process that was killed starts anew
	continueEvent                  // a process that was stopped goes on
	mendEvent                      // a process's links are mended
	faultEvent                     // the next fault is drawn
	fileEvent                      // a process gets a new operator's file
	flapEvent                      // a process is killed for a moment
)

// event is one thing that is due.
type event struct {
	kind    eventKind
	process int
	start   int // tickEvent: of the process, so that what was due for a former one comes to nothing
	message Message
	set     uint64 // fileEvent: number of the voter set in it
}

// What goes into the hash of a run; the numbers are part of recorded hashes.
const (
	hashedArrival  = 1
	hashedStart    = 2
	hashedAcquired = 10
	hashedExtended = 11
	hashedLost     = 12
	hashedRelease  = 13
	hashedSend     = 14
	hashedKill     = 20
	hashedStop     = 21
)

// New makes a run of a scenario; all processes start within a tick.
func New(scenario Scenario) *Simulation {
	if scenario.TrueDrift == 0 {
		scenario.TrueDrift = scenario.Drift
	}
	n := scenario.Voters + scenario.Others
	s := &Simulation{
		Scenario:     scenario,
		ModuleTime:   make([]time.Duration, n),
		rng:          rand.New(rand.NewPCG(scenario.Seed, 3)),
		processIndex: map[string]int{},
		leaseIndex:   map[string]int{},
		digest:       xxhash.New(),
		links:        make([]link, n*n),
		maxDelay:     5_000,
		askedUnder:   map[requestKey]uint64{},
	}
	var voters []string
	for i := range n {
		p := &process{name: fmt.Sprintf("r%03d", i), index: i, storedGrants: map[string]lease.GrantRecord{}, setNumber: 1}
		s.processes = append(s.processes, p)
		s.processIndex[p.name] = i
		if i < s.Voters {
			voters = append(voters, p.name)
		}
	}
	s.voterSets = []lease.VoterSet{{Number: 1, Names: voters}}
	for l := range s.Leases {
		truth := &leaseTruth{name: fmt.Sprintf("task-%04d", l), heldSince: notHeld}
		s.leases = append(s.leases, truth)
		s.leaseIndex[truth.name] = l
	}
	for _, p := range s.processes {
		off := s.Length / 2 // what is promised without a file: wall clocks within the longest lease of one another
		if s.Lasting {
			off = day
		}
		p.wallOffset = s.rng.Int64N(2*off) - off
		s.start(p)
	}
	if !s.Calm {
		s.lossRate = s.rng.Float64() * 0.2
		s.duplicateRate = s.rng.Float64() * 0.2
		s.maxDelay = 1 + s.rng.Int64N(40_000)
		s.schedule(s.rng.Int64N(500_000), event{kind: faultEvent})
	}
	return s
}

func (s *Simulation) schedule(at int64, e event) { s.queue.Push(at, e) }

// hash mixes an event into the hash of the run.
func (s *Simulation) hash(kind int8, process int, a, b int64) {
	binary.LittleEndian.PutUint64(s.scratch[0:], uint64(s.Now))
	binary.LittleEndian.PutUint64(s.scratch[8:], uint64(kind)<<32|uint64(process))
	binary.LittleEndian.PutUint64(s.scratch[16:], uint64(a))
	binary.LittleEndian.PutUint64(s.scratch[24:], uint64(b))
	s.digest.Write(s.scratch[:])
}

func (s *Simulation) trace(format string, args ...any) {
	if s.Trace != nil {
		s.Trace(s.Now, fmt.Sprintf(format, args...))
	}
}

// voterSet is that of a number, or the newest below it.
func (s *Simulation) voterSet(number uint64) lease.VoterSet {
	return s.voterSets[min(int(number), len(s.voterSets))-1]
}

// Run plays up to a time, or until a rule is broken.
func (s *Simulation) Run(until int64) {
	for s.Violation == "" {
		at, e, due := s.queue.Pop(until)
		if !due {
			break
		}
		s.Now = max(s.Now, at)
		s.figures.Events++
		s.handle(e)
	}
	s.Now = max(s.Now, until)
}

func (s *Simulation) handle(e event) {
	switch e.kind {
	case tickEvent:
		s.tickIfUp(s.processes[e.process], e.start)
	case arrivalEvent:
		s.arrive(s.processes[e.process], e.message)
	case startEvent:
		if p := s.processes[e.process]; !p.up {
			s.trace("%s starts", p.name)
			s.start(p)
		}
	case continueEvent:
		s.Continue(e.process)
	case mendEvent:
		s.mendLinks(e.process)
	case faultEvent:
		if !s.Calm {
			s.drawFault()
		}
	case flapEvent:
		if !s.Calm {
			s.Kill(e.process, 1+s.rng.Int64N(20_000))
		}
	case fileEvent:
		s.takeFile(s.processes[e.process], e.set)
	}
}

// Settle ends all that goes wrong: links are whole, processes go on or start anew, messages come soon and once.
func (s *Simulation) Settle() {
	s.Calm = true
	s.lossRate = 0
	s.duplicateRate = 0
	s.maxDelay = 5_000
	clear(s.links)
	for i, p := range s.processes {
		s.Continue(i)
		if !p.up {
			s.schedule(s.Now, event{kind: startEvent, process: i})
		}
	}
}

// Figures ends the run's account.
func (s *Simulation) Figures() Figures {
	total := int64(0)
	for _, truth := range s.leases {
		total += truth.heldTotal
		if truth.heldSince != notHeld {
			total += s.Now - truth.heldSince
		}
	}
	s.figures.HeldShare = float64(total) / float64(max(1, s.Now*int64(len(s.leases))))
	s.figures.Hash = s.digest.Sum64()
	return s.figures
}

// TakeoverTimes lists the times from a lease's loss to its next holder, in us.
func (s *Simulation) TakeoverTimes() (all []int64) {
	for _, truth := range s.leases {
		all = append(all, truth.takeovers...)
	}
	return all
}

// Holder is the process that holds a lease now, -1 for none.
func (s *Simulation) Holder(l int) int {
	for i, p := range s.processes {
		if p.holds(l, s.Now) {
			return i
		}
	}
	return -1
}

// HeldBy counts the leases that a process holds now.
func (s *Simulation) HeldBy(i int) (n int) {
	for l := range s.leases {
		if s.processes[i].holds(l, s.Now) {
			n++
		}
	}
	return n
}

// Held counts the leases that somebody holds now.
func (s *Simulation) Held() (n int) {
	for i := range s.processes {
		n += s.HeldBy(i)
	}
	return n
}

// Unheld names a lease that nobody holds, "" for none.
func (s *Simulation) Unheld() string {
	for l, truth := range s.leases {
		if s.Holder(l) < 0 {
			return truth.name
		}
	}
	return ""
}

// Release lets a lease's holder hand it over to another process.
func (s *Simulation) Release(l, to int) {
	if i := s.Holder(l); i >= 0 {
		holder := s.processes[i]
		s.release(holder, l, s.processes[to].name)
		s.carryOutActions(holder)
	}
}
