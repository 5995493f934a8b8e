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
	tickInterval = 30_000 // us between ticks of a process, with jitter of up to half of it either way
	day          = 86_400_000_000
	wallStart    = 1_800_000_000_000_000 // Unix time at the start of each run, us
)

// Message is a message of the lease protocol.
type Message = lease.Message

// Result holds the measurements of a run.
type Result struct {
	Events       int64
	Messages     int64
	Bytes        int64
	Acquisitions int64
	Losses       int64
	CarryOvers   int64   // number of times a held lease was carried over to a later term
	HeldShare    float64 // fraction of the time that a lease was held, averaged over all leases
	Hash         uint64  // of all events
}

// Simulation is a single run of a scenario.
type Simulation struct {
	Scenario
	Now         int64  // true time, us
	Violation   string // the first invariant violation, "" if none
	MessageSize func(Message) int
	Trace       func(at int64, what string)
	Observe     func(at int64, process string, action lease.Action) // called with each action before it is carried out
	Measure     bool
	ModuleTime  []time.Duration // real time spent in each process's candidate and voter, recorded if Measure is set

	rng           *rand.Rand
	processes     []*process
	processIndex  map[string]int
	leases        []*leaseState
	leaseIndex    map[string]int
	queue         eventqueue.Queue[event]
	digest        *xxhash.Digest
	result        Result
	voterSets     []lease.VoterSet      // the set with number n is at index n-1
	setChangeAt   int64                 // earliest time of the next change of the voter set
	incarnations  uint64                // last incarnation assigned
	links         []link                // indexed by from*n + to
	lossRate      float64               // probability that a message is lost
	duplicateRate float64               // probability that a message is delivered twice
	maxDelay      int64                 // maximum delay of a message, us
	requestSets   map[requestKey]uint64 // voter set number of each request, for the mistake OldSet
	scratch       [32]byte
}

// eventKind is the type of an event.
type eventKind int8

const (
	tickEvent    eventKind = iota // a process's candidate and voter are ticked
	arrivalEvent                  // a message arrives
	startEvent                    // a killed process restarts
	resumeEvent                   // a paused process resumes
	healEvent                     // a process's links are restored
	faultEvent                    // the next random fault is injected
	configEvent                   // a process loads a new operator file
	flapEvent                     // a process is killed and restarts shortly after
)

// event is a scheduled event.
type event struct {
	kind    eventKind
	process int
	start   int // tickEvent: start counter of the process; ticks of earlier starts are ignored
	message Message
	set     uint64 // configEvent: number of the voter set in the operator file
}

// Event types in the hash of a run. Recorded hashes depend on these numbers.
const (
	hashedArrival  = 1
	hashedStart    = 2
	hashedAcquired = 10
	hashedExtended = 11
	hashedLost     = 12
	hashedRelease  = 13
	hashedSend     = 14
	hashedKill     = 20
	hashedPause    = 21
)

// New creates a run of a scenario. All processes tick for the first time within one tick interval.
func New(scenario Scenario) *Simulation {
	if scenario.TrueDrift == 0 {
		scenario.TrueDrift = scenario.Drift
	}
	n := scenario.Voters + scenario.NonVoters
	s := &Simulation{
		Scenario:     scenario,
		ModuleTime:   make([]time.Duration, n),
		rng:          rand.New(rand.NewPCG(scenario.Seed, 3)),
		processIndex: map[string]int{},
		leaseIndex:   map[string]int{},
		digest:       xxhash.New(),
		links:        make([]link, n*n),
		maxDelay:     5_000,
		requestSets:  map[requestKey]uint64{},
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
		state := &leaseState{name: fmt.Sprintf("task-%04d", l), heldSince: notHeld}
		s.leases = append(s.leases, state)
		s.leaseIndex[state.name] = l
	}
	for _, p := range s.processes {
		maxOffset := s.Length / 2 // without stored state, wall clocks must agree to within the longest lease
		if s.DurableVoters {
			maxOffset = day
		}
		p.wallOffset = s.rng.Int64N(2*maxOffset) - maxOffset
		s.start(p)
	}
	if !s.NoFaults {
		s.lossRate = s.rng.Float64() * 0.2
		s.duplicateRate = s.rng.Float64() * 0.2
		s.maxDelay = 1 + s.rng.Int64N(40_000)
		s.schedule(s.rng.Int64N(500_000), event{kind: faultEvent})
	}
	return s
}

func (s *Simulation) schedule(at int64, e event) { s.queue.Push(at, e) }

// hash adds an event to the hash of the run.
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

// voterSet returns the voter set with the given number, or the newest one if the number does not exist yet.
func (s *Simulation) voterSet(number uint64) lease.VoterSet {
	return s.voterSets[min(int(number), len(s.voterSets))-1]
}

// Run processes all events up to the given time, or until an invariant is violated.
func (s *Simulation) Run(until int64) {
	for s.Violation == "" {
		at, e, due := s.queue.Pop(until)
		if !due {
			break
		}
		s.Now = max(s.Now, at)
		s.result.Events++
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
			s.trace("%s restarts", p.name)
			s.start(p)
		}
	case resumeEvent:
		s.Resume(e.process)
	case healEvent:
		s.healLinks(e.process)
	case faultEvent:
		if !s.NoFaults {
			s.injectFault()
		}
	case flapEvent:
		if !s.NoFaults {
			s.Kill(e.process, 1+s.rng.Int64N(20_000))
		}
	case configEvent:
		s.loadConfig(s.processes[e.process], e.set)
	}
}

// EndFaults ends all faults: links are restored, processes resume or restart, and messages arrive promptly and exactly once.
func (s *Simulation) EndFaults() {
	s.NoFaults = true
	s.lossRate = 0
	s.duplicateRate = 0
	s.maxDelay = 5_000
	clear(s.links)
	for i, p := range s.processes {
		s.Resume(i)
		if !p.up {
			s.schedule(s.Now, event{kind: startEvent, process: i})
		}
	}
}

// Result returns the measurements of the run up to now.
func (s *Simulation) Result() Result {
	total := int64(0)
	for _, state := range s.leases {
		total += state.heldTotal
		if state.heldSince != notHeld {
			total += s.Now - state.heldSince
		}
	}
	s.result.HeldShare = float64(total) / float64(max(1, s.Now*int64(len(s.leases))))
	s.result.Hash = s.digest.Sum64()
	return s.result
}

// TakeoverTimes returns the times between the end of a holder's lease and the acquisition by its next holder, in us.
func (s *Simulation) TakeoverTimes() (all []int64) {
	for _, state := range s.leases {
		all = append(all, state.takeovers...)
	}
	return all
}

// Holder returns the index of the process that holds a lease now, or -1 if there is none.
func (s *Simulation) Holder(l int) int {
	for i, p := range s.processes {
		if p.holds(l, s.Now) {
			return i
		}
	}
	return -1
}

// HeldBy returns the number of leases that a process holds now.
func (s *Simulation) HeldBy(i int) (n int) {
	for l := range s.leases {
		if s.processes[i].holds(l, s.Now) {
			n++
		}
	}
	return n
}

// Held returns the number of leases that are held now.
func (s *Simulation) Held() (n int) {
	for i := range s.processes {
		n += s.HeldBy(i)
	}
	return n
}

// Unheld returns the name of a lease without a holder, or "" if all leases are held.
func (s *Simulation) Unheld() string {
	for l, state := range s.leases {
		if s.Holder(l) < 0 {
			return state.name
		}
	}
	return ""
}

// Release makes the holder of a lease hand it over to the process with index to.
func (s *Simulation) Release(l, to int) {
	if i := s.Holder(l); i >= 0 {
		holder := s.processes[i]
		s.release(holder, l, s.processes[to].name)
		s.carryOutActions(holder)
	}
}
