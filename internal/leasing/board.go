package leasing

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cairntiller/internal/fleet"
	"cairntiller/internal/lease"
	"cairntiller/internal/packing"
)

// What voters know, for operators: whoever is asked asks every voter page by page, and puts together what comes. A
// voter's whole answer at once is a burst that overruns the asker's socket, and what is lost of it can't be seen.

const (
	pollVersion = 2
	pageMost    = 12                     // leases told in one message: with long names they fit a datagram
	pageAgain   = 100 * time.Millisecond // after which a page that has not come is asked for again: many round trips
	askWait     = 500 * time.Millisecond // for voters to tell more of what they know
)

// poll is a question for what a voter knows, or a page of its answer.
type poll struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Number  uint64 // of the question
	Answer  bool
	Free    string // a lease that who is asked is to give up, "" for a question
	After   string // the page begins behind this lease
	More    bool   // pages follow
	Set     uint64
	Away    int64 // us for which it still abstains
	States  []pollState
}

type pollState struct {
	_       struct{} `cbor:",toarray"`
	Lease   string
	Holder  string
	Term    uint64
	Left    int64
	Waiting int
}

// board collects answers.
type board struct {
	mu     sync.Mutex
	number uint64
	open   map[uint64]*gathering
}

type gathering struct {
	voters map[string]*Voted
	after  map[string]string // of who has more to tell, behind which lease
	all    chan struct{}
}

// listing is what this instance's voter knew when it was asked; its pages are of one moment.
type listing struct {
	to     string
	number uint64
	states []lease.State
}

// Voted is what one voter told.
type Voted struct {
	Voter  string
	Set    uint64
	Away   int64 // us for which it still abstains
	Part   bool  // it has more to tell that did not come
	States []lease.State
}

// Ask asks every voter what it knows; it returns what came until the context ended, nothing more came for a while, or
// all had told.
func (l *Leasing) Ask(ctx context.Context) []Voted {
	var names []string
	l.call(func(int64) { names = l.claimant.VoterNames() })
	b := &l.board
	b.mu.Lock()
	b.number++
	number := b.number
	g := &gathering{voters: map[string]*Voted{}, after: map[string]string{}, all: make(chan struct{})}
	for _, name := range names {
		g.after[name] = ""
	}
	if b.open == nil {
		b.open = map[uint64]*gathering{}
	}
	b.open[number] = g
	b.mu.Unlock()
	if len(names) == 0 {
		close(g.all)
	}
	again := time.NewTicker(pageAgain)
	defer again.Stop()
	var was map[string]string
	for came, ended := time.Now(), false; !ended; {
		b.mu.Lock()
		left := maps.Clone(g.after)
		b.mu.Unlock()
		for name, after := range left {
			if before, asked := was[name]; !asked || before == after { // no page has come since
				l.page(name, number, after)
			}
		}
		if !maps.Equal(was, left) {
			came = time.Now()
		}
		was = left
		if time.Since(came) >= askWait {
			break
		}
		select {
		case <-ctx.Done():
			ended = true
		case <-g.all:
			ended = true
		case <-l.over:
			ended = true
		case <-again.C:
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, number)
	var all []Voted
	for name, v := range g.voters {
		_, v.Part = g.after[name]
		all = append(all, *v)
	}
	slices.SortFunc(all, func(a, b Voted) int { return cmp.Compare(a.Voter, b.Voter) })
	return all
}

// page asks a voter for what it knows behind a lease.
func (l *Leasing) page(name string, number uint64, after string) {
	raw := packing.Encode(poll{Version: pollVersion, Number: number, After: after})
	if name == l.self {
		l.hearBoard(l.self, raw)
	} else if l.send(name, fleet.KindLeases, raw) != nil {
		unsent.Add()
	}
}

// hearBoard takes a question or an answer.
func (l *Leasing) hearBoard(from string, body []byte) {
	var p poll
	if decoding.Unmarshal(body, &p) != nil || p.Version != pollVersion {
		unread.Add()
		return
	}
	switch {
	case p.Answer:
		if l.board.take(from, p) {
			l.page(from, p.Number, p.States[len(p.States)-1].Lease)
		}
		return
	case p.Free != "":
		l.wanted(p.Free, "an operator at "+from+" frees it")
		return
	}
	select {
	case l.polls <- func(now int64) { l.tell(now, from, p.Number, p.After) }:
	default:
		dropped.Add()
	}
}

// wanted tells who holds a lease here that it should give it up; it never blocks.
func (l *Leasing) wanted(name, why string) {
	select {
	case l.calls <- func(now int64) {
		term, _ := l.claimant.Term(name)
		if t := l.tenures[name]; t != nil && term > 0 {
			t.heard(lease.Out{Act: lease.Yield, Lease: name, Term: term, Why: why})
		}
	}:
	default:
		dropped.Add()
	}
}

// tell answers with a page of what this instance's voter knows.
func (l *Leasing) tell(now int64, to string, number uint64, after string) {
	if l.voter == nil {
		return
	}
	all := &l.listing
	if after == "" || all.to != to || all.number != number {
		*all = listing{to, number, l.voter.States(now)}
		slices.SortFunc(all.states, func(a, b lease.State) int { return cmp.Compare(a.Lease, b.Lease) })
	}
	at, found := slices.BinarySearchFunc(all.states, after, func(s lease.State, name string) int { return cmp.Compare(s.Lease, name) })
	if found {
		at++
	}
	some := all.states[at:min(len(all.states), at+pageMost)]
	set, _ := l.voter.Set()
	p := poll{Version: pollVersion, Number: number, Answer: true, After: after, More: at+len(some) < len(all.states), Set: set, Away: l.voter.Abstains(now)}
	for _, s := range some {
		p.States = append(p.States, pollState{Lease: s.Lease, Holder: s.Holder, Term: s.Term, Left: s.Left, Waiting: s.Waiting})
	}
	if raw := packing.Encode(p); to == l.self {
		l.hearBoard(to, raw)
	} else if l.send(to, fleet.KindLeases, raw) != nil {
		unsent.Add()
	}
}

// take puts a page with the others of its voter; it tells whether the next one is to be asked for. A page that came
// twice, or late, changes nothing.
func (b *board) take(from string, p poll) (next bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.open[p.Number]
	if g == nil || len(p.States) > pageMost || p.More && len(p.States) == 0 {
		return false
	}
	if after, waits := g.after[from]; !waits || p.After != after {
		return false
	}
	v := g.voters[from]
	if v == nil {
		v = &Voted{Voter: from}
		g.voters[from] = v
	}
	v.Set, v.Away = p.Set, p.Away
	for _, s := range p.States {
		v.States = append(v.States, lease.State{Lease: s.Lease, Holder: s.Holder, Term: s.Term, Left: s.Left, Waiting: s.Waiting})
	}
	if p.More {
		g.after[from] = p.States[len(p.States)-1].Lease
		return true
	}
	if delete(g.after, from); len(g.after) == 0 {
		close(g.all)
	}
	return false
}
