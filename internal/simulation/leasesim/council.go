// Package leasesim simulates processes that vote on leases and hold them: each has its own clock, messages are lost,
// doubled, late and out of order, links are cut one way or both, processes are stopped, killed and started anew with or
// without what they kept, and the set of voters changes. It knows the true time and checks after each event that no
// two processes could act on one lease at once and that terms only grow. Equal seeds give equal runs, as a hash over
// all events shows. It is for tests and proofs; faults can be planted to see that it finds them.
package leasesim

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairntiller/internal/lease"
	"cairntiller/internal/simulation/eventqueue"
)

// Plan is what a run is made of.
type Scenario struct {
	Seed           uint64
	Voters         int   // of the first set
	Others         int   // processes that do not vote
	Leases         int   // each wanted by everybody
	Wanted         int   // of the processes, how many want each lease; 0 for all
	Length         int64 // us
	Drift          int64 // parts of a million that the processes are told
	TrueDrift      int64 // parts of a million by which their clocks really are off, at most; 0 for as told
	Lasting        bool  // voters keep their records
	Span           int64 // us
	Calm           bool  // no faults but what Kill and others are called for
	PlantedMistake Mistake
}

// Fault is a planted mistake.
type Mistake int

// The planted mistakes; each breaks one rule that the argument for safety rests on.
const (
	None            Mistake = iota
	Forgets                 // a voter that comes back votes at once
	NoMargin                // a claimant leaves no room for drift
	FromAnswer              // a vote counts from its answer, not from its question
	FormerVoter             // what a voter's new process says stands for what the former one granted
	TermReused              // a voter that comes back knows no terms, and asks nobody
	EarlyFree               // a lease is given up while its acts still run
	NoClock                 // a holder goes by what it was told, not by the time that is left
	TwoAtOnce               // two voters are replaced in one change of the set
	OldSet                  // a voter takes questions under any set of voters
	ShortVotes              // a voter keeps a grant for less than it said
	SameProcess             // a process that starts anew takes its former one's number
	ShortAbstinence         // a voter that comes back abstains for half the longest lease
	HalfMajority            // half of the voters are enough
	MistakeCount
)

// String names the mistake.
func (f Mistake) String() string {
	return [...]string{"none", "forgets", "no-margin", "from-answer", "former-voter",
		"term-reused", "early-free", "no-clock", "two-at-once", "old-set", "short-votes", "same-process",
		"short-abstinence", "half-majority"}[f]
}

const (
	tickEvery = 30_000
	day       = 86_400_000_000
	wall      = 1_800_000_000_000_000 // us of Unix time at the start of each run
)

// Figures are what a run measured.
type Figures struct {
	Events     int64
	Messages   int64
	Bytes      int64
	Holds      int64
	Losses     int64
	CarryOvers int64   // times that a lease was carried over to a later term
	HeldShare  float64 // of the time, over all leases
	Hash       uint64
}

// World is one run.
type Simulation struct {
	Scenario
	Now         int64
	Violation   string // the first rule that was broken
	MessageSize func(*lease.Message) int
	Trace       func(at int64, what string)
	Observe     func(at int64, process string, action lease.Action) // each action, before it is carried out
	rng         *rand.Rand
	list        []*process
	byName      map[string]int
	index       map[string]int  // of leases
	ModuleTime  []time.Duration // real time in each process's modules, where Measure is set
	Measure     bool
	events      eventqueue.Queue[event]
	digest      *xxhash.Digest
	fig         Figures
	leases      []*held
	sets        []lease.VoterSet // by number less one
	links       []link           // from*n + to
	loss        float64
	twice       float64
	late        int64 // us that a message takes at most
	cutTill     []int64
	settled     int64 // when the set of voters may change again
	born        uint64
	label       map[label]uint64 // planted: under which set a question went out
	scratch     [64]byte
}

// label names a question.
type label struct {
	from, to string
	round    uint64
}

type link struct {
	cut  bool
	slow int64 // us that each message takes beside, at most
}

// process is one instance; a new start under its name gets a new claimant, voter and number.
type process struct {
	name     string
	index    int
	up       bool
	stopped  bool
	starts   int // counts up, so that what was due for a former process comes to nothing
	born     uint64
	claimant *lease.Candidate
	voter    *lease.Voter
	rate     float64 // of its clock against the true time
	zero     int64   // its clock at true time 0
	wallOff  int64   // of its wall clock
	number   uint64  // set of voters that its file names
	kept     map[string]lease.GrantRecord
	floor    uint64
	keptSet  uint64
	waiting  []arrival         // messages that came while it was stopped
	lostAt   map[string]uint64 // planted: what each voter last told
	voterAt  map[string]uint64
	term     []uint64 // under which it holds each lease, 0 for not
	until    []int64  // on its clock, what its guard goes by
	heldAt   []int64
	tick     bool
}

type arrival struct {
	m  *lease.Message
	to int
}

// held is the truth of one lease.
type held struct {
	name  string
	top   uint64 // highest term under which it was held
	by    string
	past  []span // who could act until when, in true time
	since int64  // of the present holder, -1 for none
	total int64
	last  int64
	took  []int64 // times from a loss to the next holder
	free  int64   // when it was last without
}

type span struct {
	by   string // name and start
	till int64
}

type event struct {
	at    int64
	kind  int8
	who   int
	start int
	m     *lease.Message
	arg   int64
}

const (
	evTick = iota
	evMessage
	evStart
	evContinue
	evMend
	evFault
	evFree
	evFile
	evFlap
)

// New makes a run of a plan; all processes start within a tick.
func New(p Scenario) *Simulation {
	if p.TrueDrift == 0 {
		p.TrueDrift = p.Drift
	}
	w := &Simulation{Scenario: p, rng: rand.New(rand.NewPCG(p.Seed, 3)), byName: map[string]int{}, index: map[string]int{}, digest: xxhash.New(), late: 5_000}
	n := p.Voters + p.Others
	w.links, w.cutTill, w.ModuleTime = make([]link, n*n), make([]int64, n), make([]time.Duration, n)
	var names []string
	for i := range n {
		w.list = append(w.list, &process{name: fmt.Sprintf("r%03d", i), index: i, kept: map[string]lease.GrantRecord{}, number: 1})
		w.byName[w.list[i].name] = i
		if i < p.Voters {
			names = append(names, w.list[i].name)
		}
	}
	w.sets = []lease.VoterSet{{Number: 1, Names: names}}
	for l := range p.Leases {
		w.leases = append(w.leases, &held{name: fmt.Sprintf("task-%04d", l), since: -1})
		w.index[w.leases[l].name] = l
	}
	for i := range w.list {
		off := w.Length / 2 // what is promised without a lasting place: clocks within the longest lease of one another
		if p.Lasting {
			off = day
		}
		w.list[i].wallOff = w.rng.Int64N(2*off) - off
		w.start(i)
	}
	if !p.Calm {
		w.loss, w.twice, w.late = w.rng.Float64()*0.2, w.rng.Float64()*0.2, 1+w.rng.Int64N(40_000)
		w.push(event{at: w.rng.Int64N(500_000), kind: evFault})
	}
	return w
}

func (w *Simulation) push(e event) { w.events.Push(e.at, e) }

// clock is a process's clock now; back gives the true time of a reading.
func (p *process) clock(now int64) int64 { return p.zero + int64(float64(now)*p.rate) }
func (p *process) back(own int64) int64  { return int64(float64(own-p.zero) / p.rate) }

// note mixes an event into the hash.
func (w *Simulation) note(kind int8, who int, a, b int64) {
	binary.LittleEndian.PutUint64(w.scratch[0:], uint64(w.Now))
	binary.LittleEndian.PutUint64(w.scratch[8:], uint64(kind)<<32|uint64(who))
	binary.LittleEndian.PutUint64(w.scratch[16:], uint64(a))
	binary.LittleEndian.PutUint64(w.scratch[24:], uint64(b))
	w.digest.Write(w.scratch[:32])
}

func (w *Simulation) trace(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.Now, fmt.Sprintf(format, args...))
	}
}

// longest is the longest lease that voters are told of.
func (w *Simulation) longest() int64 { return w.Length }

// start starts a process, or starts it anew, knowing what it kept and no more.
func (w *Simulation) start(i int) {
	p := w.list[i]
	p.starts++
	p.up, p.stopped, p.waiting = true, false, nil
	w.born++
	if p.born == 0 || w.PlantedMistake != SameProcess {
		p.born = w.born
	}
	if p.rate == 0 { // the machine's clock goes on through restarts of the process
		p.rate = 1 + (w.rng.Float64()*2-1)*float64(w.TrueDrift)/1e6
		if i < w.Voters && w.rng.IntN(3) == 0 { // often at the bound
			p.rate = 1 + float64(w.TrueDrift)/1e6
		} else if w.rng.IntN(3) == 0 {
			p.rate = 1 - float64(w.TrueDrift)/1e6
		}
		p.zero = w.rng.Int64N(day)
	}
	own := p.clock(w.Now)
	drift := w.Drift
	if w.PlantedMistake == NoMargin {
		drift = 0
	}
	number := p.number
	if w.Lasting && p.keptSet > number {
		number = p.keptSet
	}
	by := w.voters(number)
	p.claimant = lease.NewCandidate(p.name, p.born, drift, by.Number, by.Names)
	p.term, p.until, p.heldAt = make([]uint64, w.Leases), make([]int64, w.Leases), make([]int64, w.Leases)
	p.lostAt, p.voterAt = map[string]uint64{}, map[string]uint64{}
	for l, h := range w.leases {
		if w.Wanted == 0 || (i+l)%len(w.list) < w.Wanted {
			p.claimant.RequestLease(own, w.wish(l, h))
		}
	}
	w.vote(p, own, by) // one that is in no set answers nothing, and may be in the next one
	w.note(evStart, i, int64(p.born), own)
	w.push(event{at: w.Now + w.rng.Int64N(tickEvery), kind: evTick, who: i, start: p.starts})
}

// vote gives a process its voter.
func (w *Simulation) vote(p *process, own int64, by lease.VoterSet) {
	floor, begun := uint64(wall+w.Now+p.wallOff+w.longest()), own
	var kept []lease.GrantRecord
	if w.Lasting {
		floor = max(floor, p.floor)
		for _, name := range slices.Sorted(maps.Keys(p.kept)) {
			kept = append(kept, p.kept[name])
		}
	}
	longest := w.longest()
	switch w.PlantedMistake {
	case TermReused:
		floor, kept = 0, nil
	case Forgets:
		if p.starts > 1 {
			begun -= longest
		}
	case ShortAbstinence:
		begun -= longest / 2
	}
	p.voter = lease.NewVoter(begun, p.name, p.born, longest, 20_000, floor, by, kept)
}

// wish is what a process wants of a lease.
func (w *Simulation) wish(l int, h *held) lease.Request {
	wish := lease.Request{Lease: h.name, Length: w.Length}
	if !w.Calm && l%3 == 1 {
		wish.YieldAfter = 4 * w.Length
	}
	return wish
}

func (w *Simulation) voters(number uint64) lease.VoterSet {
	return w.sets[min(int(number), len(w.sets))-1]
}

// Run plays up to a time.
func (w *Simulation) Run(till int64) {
	for w.Violation == "" {
		at, e, due := w.events.Pop(till)
		if !due {
			break
		}
		w.Now = max(w.Now, at)
		w.fig.Events++
		w.handle(e)
	}
	w.Now = max(w.Now, till)
}

func (w *Simulation) handle(e event) {
	switch e.kind {
	case evTick:
		p := w.list[e.who]
		if !p.up || p.starts != e.start {
			return
		}
		if !p.stopped {
			w.tick(p)
		}
		if p.up {
			w.push(event{at: w.Now + tickEvery/2 + w.rng.Int64N(tickEvery), kind: evTick, who: e.who, start: p.starts})
		}
	case evMessage:
		w.arrive(e.who, e.m)
	case evStart:
		if p := w.list[e.who]; !p.up {
			w.trace("%s starts", p.name)
			w.start(e.who)
		}
	case evContinue:
		w.Continue(e.who)
	case evMend:
		w.mend(e.who)
	case evFault:
		if !w.Calm {
			w.fault()
		}
	case evFree:
		if p := w.list[e.who]; p.up && p.starts == e.start && !p.stopped {
			w.release(p, int(e.arg), "")
			w.carry(p)
		}
	case evFlap:
		if w.Calm {
			return
		}
		w.Kill(e.who, 1+w.rng.Int64N(20_000))
	case evFile:
		w.file(e.who, uint64(e.arg))
	}
}

func (w *Simulation) tick(p *process) {
	defer w.spend(p, time.Now())
	own := p.clock(w.Now)
	p.claimant.Tick(own)
	if p.voter != nil {
		p.voter.Tick(own)
		if has, _ := p.voter.CurrentSet(); has < p.number && w.rng.IntN(20) == 0 { // the operator looks after who is behind
			p.voter.SetVoters(own, w.voters(has+1))
		}
	}
	w.carry(p)
}

func (w *Simulation) spend(p *process, began time.Time) {
	if w.Measure {
		w.ModuleTime[p.index] += time.Since(began)
	}
}

// carry does what the modules ask for. A voter's records are kept before its answers go out.
func (w *Simulation) carry(p *process) {
	for _, o := range p.claimant.TakeActions() {
		w.do(p, o)
	}
	if p.voter == nil {
		return
	}
	for _, o := range p.voter.TakeActions() {
		if !p.up {
			return
		}
		w.do(p, o)
	}
}

func (w *Simulation) lease(name string) int { return w.index[name] }

func (w *Simulation) do(p *process, action lease.Action) {
	if w.Observe != nil {
		w.Observe(w.Now, p.name, action)
	}
	switch a := action.(type) {
	case lease.Send:
		w.send(p, a.To, a.Message)
	case lease.StoreGrant:
		if w.Lasting {
			p.kept[a.Lease] = a.GrantRecord
			p.floor = max(p.floor, p.voter.TermFloor())
		}
	case lease.DeleteGrant:
		delete(p.kept, a.Lease)
		p.floor = max(p.floor, p.voter.TermFloor())
	case lease.StoreVoterSet:
		if w.Lasting {
			p.keptSet = a.Number
		}
	case lease.Acquired:
		w.hold(p, w.lease(a.Lease), a.Term, a.Until)
	case lease.Extended:
		w.extended(p, w.lease(a.Lease), a.Term, a.Until)
	case lease.Lost:
		w.lost(p, w.lease(a.Lease), a.Reason)
	case lease.YieldRequested:
		w.trace("%s is to yield %s to %s: %s", p.name, a.Lease, a.Next, a.Reason)
		w.release(p, w.lease(a.Lease), a.Next)
	}
}

// hold notes a new holder and checks that nobody else can still act.
func (w *Simulation) hold(p *process, l int, term uint64, until int64) {
	h := w.leases[l]
	w.trace("%s holds %s at %d until %d", p.name, h.name, term, p.back(until))
	w.note(10, p.index, int64(term), until)
	if term <= h.top {
		w.broken("%s holds %s under term %d, and %s had it under %d", p.name, h.name, term, h.by, h.top)
	}
	h.top, h.by = term, p.name
	p.term[l], p.until[l], p.heldAt[l] = term, until, w.Now
	w.alone(p, l, until)
	w.fig.Holds++
	if h.since < 0 {
		h.since = w.Now
		if h.free > 0 {
			h.took = append(h.took, w.Now-h.free)
		}
	}
}

func (w *Simulation) extended(p *process, l int, term uint64, until int64) {
	w.note(11, p.index, int64(l), until)
	if h := w.leases[l]; term != p.term[l] { // carried over to a later term
		w.trace("%s carries %s over to %d", p.name, h.name, term)
		if term <= h.top {
			w.broken("%s carries %s over to term %d, and %s had it under %d", p.name, h.name, term, h.by, h.top)
		}
		h.top, h.by, p.term[l] = term, p.name, term
		w.fig.CarryOvers++
	}
	p.until[l] = until
	w.alone(p, l, until)
}

// alone checks that no other process could act on a lease from now on, up to the end of its time, and notes this one's.
// A process that was killed counts up to its time too: what it started may go on without it.
func (w *Simulation) alone(p *process, l int, until int64) {
	h := w.leases[l]
	me, till := p.me(), p.back(until)
	if w.PlantedMistake == NoClock { // it acts until it is told that it lost
		till = w.Now + 10*w.Length
	}
	kept := h.past[:0]
	for _, s := range h.past {
		if s.till <= w.Now || s.by == me {
			continue
		}
		if both := min(s.till, till) - w.Now; both > 0 {
			w.broken("%s and %s can both act on %s, for %d us more", me, s.by, h.name, both)
		}
		kept = append(kept, s)
	}
	h.past = append(kept, span{by: me, till: till})
}

func (w *Simulation) broken(format string, args ...any) {
	if w.Violation == "" {
		w.Violation = fmt.Sprintf("%.3f s: ", float64(w.Now)/1e6) + fmt.Sprintf(format, args...)
		w.trace("BROKEN %s", w.Violation)
	}
}

// lost notes that a process knows that it holds no more. What it did by its guard ended with its time.
func (w *Simulation) lost(p *process, l int, why string) {
	w.trace("%s loses %s: %s", p.name, w.leases[l].name, why)
	w.note(12, p.index, int64(l), 0)
	w.fig.Losses++
	w.away(p, l)
	if w.PlantedMistake == NoClock {
		w.end(p, l, w.Now)
	}
	p.term[l] = 0
}

// away notes that nobody holds a lease from when its holder's time was over.
func (w *Simulation) away(p *process, l int) {
	if h := w.leases[l]; p.term[l] != 0 && h.top == p.term[l] && h.since >= 0 {
		end := min(w.Now, max(h.since, p.back(p.until[l])))
		h.total += end - h.since
		h.since, h.free = -1, end
	}
}

// release gives a lease up after its acts have ended.
func (w *Simulation) release(p *process, l int, next string) {
	if p.term[l] == 0 {
		return
	}
	w.note(13, p.index, int64(l), 0)
	w.away(p, l)
	if w.PlantedMistake == EarlyFree {
		w.end(p, l, w.Now+w.Length/4) // the act goes on a while
	} else {
		w.end(p, l, w.Now)
	}
	p.term[l] = 0
	p.claimant.Release(p.clock(w.Now), w.leases[l].name, next)
}

// end notes that a process that is up acts on a lease no longer than up to a time.
func (w *Simulation) end(p *process, l int, till int64) {
	me := p.me()
	for i := range w.leases[l].past {
		if s := &w.leases[l].past[i]; s.by == me {
			s.till = min(s.till, till)
		}
	}
}

// me names one process among all that had its name.
func (p *process) me() string { return fmt.Sprint(p.name, "/", p.starts) }

// send lets a message out.
func (w *Simulation) send(p *process, to string, m *lease.Message) {
	i, known := w.byName[to]
	if !known {
		return
	}
	w.fig.Messages++
	if w.MessageSize != nil {
		w.fig.Bytes += int64(w.MessageSize(m))
	}
	w.note(14, p.index, int64(i), int64(m.Kind)<<40|int64(m.RequestID))
	copied := *m // who gets it must not share what the sender still changes
	copied.Items = slices.Clone(m.Items)
	if i == p.index { // to itself it is no message
		w.push(event{at: w.Now + 1, kind: evMessage, who: i, m: &copied})
		return
	}
	if w.links[p.index*len(w.list)+i].cut || w.rng.Float64() < w.loss {
		return
	}
	if w.PlantedMistake == OldSet && (m.Kind == lease.KindGrantRequest || m.Kind == lease.KindRenewRequest) {
		if w.label == nil {
			w.label = map[label]uint64{}
		}
		w.label[label{p.name, to, m.RequestID}] = m.SetNumber
	}
	slow := w.links[p.index*len(w.list)+i].slow
	w.push(event{at: w.Now + w.delay(slow), kind: evMessage, who: i, m: &copied})
	if w.rng.Float64() < w.twice {
		at := w.Now + w.delay(slow)
		if w.rng.IntN(4) == 0 { // very late
			at = w.Now + w.rng.Int64N(60_000_000)
		}
		w.push(event{at: at, kind: evMessage, who: i, m: &copied})
	}
	if !w.Calm && m.Kind == lease.KindGrantResponse && w.rng.IntN(400) == 0 { // a voter killed between its vote and its answer's arrival
		w.Kill(p.index, w.rng.Int64N(2*w.Length))
	}
}

func (w *Simulation) delay(slow int64) int64 {
	d := 1 + w.rng.Int64N(w.late) + w.rng.Int64N(slow+1)
	if !w.Calm && w.rng.IntN(50) == 0 {
		d *= 20
	}
	return d
}

// arrive hands a message to the process that has the name now.
func (w *Simulation) arrive(i int, m *lease.Message) {
	p := w.list[i]
	if !p.up {
		return
	}
	if p.stopped {
		if len(p.waiting) < 10_000 {
			p.waiting = append(p.waiting, arrival{m, i})
		}
		return
	}
	w.note(evMessage, i, int64(m.Kind)<<40|int64(m.RequestID), int64(m.Incarnation))
	w.tamper(p, m)
	defer w.spend(p, time.Now())
	own := p.clock(w.Now)
	switch m.Kind {
	case lease.KindGrantRequest, lease.KindRenewRequest, lease.KindRelease, lease.KindVoterStatus:
		if p.voter != nil {
			p.voter.Receive(own, m)
		}
	default:
		p.claimant.Receive(own, m)
		p.claimant.Tick(own)
	}
	w.carry(p)
}

// Kill ends a process at once; it starts anew after a while, or not where that is negative.
func (w *Simulation) Kill(i int, after int64) {
	p := w.list[i]
	if !p.up {
		return
	}
	w.trace("%s is killed", p.name)
	w.note(20, i, after, 0)
	p.up = false
	for l := range w.leases {
		w.away(p, l) // it acts no more; what it had started may go on until its time
		p.term[l] = 0
	}
	if after >= 0 {
		w.push(event{at: w.Now + after, kind: evStart, who: i})
	}
}

// Stop holds a process still for a while.
func (w *Simulation) Stop(i int, span int64) {
	p := w.list[i]
	if !p.up || p.stopped {
		return
	}
	w.trace("%s is stopped for %d us", p.name, span)
	w.note(21, i, span, 0)
	p.stopped = true
	w.push(event{at: w.Now + span, kind: evContinue, who: i})
}

// Continue lets a stopped process go on; what came meanwhile is read first, as from a socket.
func (w *Simulation) Continue(i int) {
	p := w.list[i]
	if !p.up || !p.stopped {
		return
	}
	w.trace("%s goes on", p.name)
	p.stopped = false
	waiting := p.waiting
	p.waiting = nil
	for _, a := range waiting {
		w.arrive(a.to, a.m)
	}
}

// Cut cuts what goes from one process to another, or mends it.
func (w *Simulation) Cut(from, to int, cut bool) { w.links[from*len(w.list)+to].cut = cut }

func (w *Simulation) mend(i int) {
	if w.Now < w.cutTill[i] {
		return
	}
	for j := range w.list {
		if w.Now >= w.cutTill[j] {
			w.Cut(i, j, false)
			w.Cut(j, i, false)
		}
	}
}

// Figures ends the run's account.
func (w *Simulation) Figures() Figures {
	total := int64(0)
	for _, h := range w.leases {
		total += h.total
		if h.since >= 0 {
			total += w.Now - h.since
		}
	}
	w.fig.HeldShare = float64(total) / float64(max(1, w.Now*int64(len(w.leases))))
	w.fig.Hash = w.digest.Sum64()
	return w.fig
}

// Took lists the times from a lease's loss to its next holder.
func (w *Simulation) TakeoverTimes() (all []int64) {
	for _, h := range w.leases {
		all = append(all, h.took...)
	}
	return all
}

// Holder is the process that holds a lease now, -1 for none.
func (w *Simulation) Holder(l int) int {
	for i, p := range w.list {
		if p.up && p.term[l] != 0 && p.clock(w.Now) < p.until[l] {
			return i
		}
	}
	return -1
}

// Release lets a lease's holder hand it over to another process.
func (w *Simulation) Release(l, to int) {
	if i := w.Holder(l); i >= 0 {
		w.release(w.list[i], l, w.list[to].name)
		w.carry(w.list[i])
	}
}

// Mixed draws a plan of mixed faults from a seed.
func MixedFaults(seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 4))
	p := Scenario{Seed: seed, Voters: []int{3, 3, 3, 5, 5, 1}[rng.IntN(6)], Others: rng.IntN(4), Leases: 1 + rng.IntN(3),
		Length: 1_000_000 + rng.Int64N(1_000_000), Drift: 10_000, Lasting: rng.IntN(2) == 0, Span: 20_000_000}
	if p.Voters+p.Others < 3 {
		p.Others = 2
	}
	return p
}

// Plant returns the plan with a mistake planted, long enough for it to come to light.
func (p Scenario) WithMistake(f Mistake) Scenario {
	p.PlantedMistake = f
	if f == OldSet || f == TwoAtOnce { // the set of voters has to change more than once
		p.Span *= 4
	}
	return p
}

// Message is what processes send one another.
type Message = lease.Message

// HeldBy counts the leases that a process holds now; Held those that anybody does.
func (w *Simulation) HeldBy(i int) (n int) {
	p := w.list[i]
	for l := range w.leases {
		if p.up && p.term[l] != 0 && p.clock(w.Now) < p.until[l] {
			n++
		}
	}
	return n
}

// Held counts the leases that somebody holds now.
func (w *Simulation) Held() (n int) {
	for i := range w.list {
		n += w.HeldBy(i)
	}
	return n
}
