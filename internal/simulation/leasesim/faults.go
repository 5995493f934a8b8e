package leasesim

import (
	"slices"

	"cairntiller/internal/lease"
)

// fault draws the next thing that goes wrong, and when the one after it does.
func (w *Simulation) fault() {
	n := len(w.list)
	i := w.rng.IntN(n)
	if w.rng.IntN(3) == 0 { // rare states lie near the voters
		i = w.rng.IntN(w.Voters)
	}
	l := w.rng.IntN(w.Leases)
	if h := w.Holder(l); h >= 0 && w.rng.IntN(3) == 0 { // and near a holder
		i = h
	}
	span := w.rng.Int64N(3 * w.Length)
	switch w.rng.IntN(17) {
	case 14: // it comes back at once, and again
		for k := range int64(3) {
			w.push(event{at: w.Now + k*w.Length/4, kind: evFlap, who: i})
		}
	case 15: // one link is slower than a lease is long
		j := w.rng.IntN(n)
		w.links[i*n+j].slow, w.links[j*n+i].slow = w.rng.Int64N(w.Length), w.rng.Int64N(w.Length)
	case 16:
		for k := range w.links {
			w.links[k].slow = 0
		}
	case 0, 1:
		if w.rng.IntN(3) == 0 {
			span = w.rng.Int64N(100_000)
		}
		w.Kill(i, span)
	case 2, 3:
		w.Stop(i, span)
	case 4: // one way: it hears and isn't heard, or the other way round
		out := w.rng.IntN(2) == 0
		for j := range n {
			if out {
				w.Cut(i, j, i != j)
			} else {
				w.Cut(j, i, i != j)
			}
		}
		w.till(i, span)
	case 5:
		for j := range n {
			w.Cut(i, j, i != j)
			w.Cut(j, i, i != j)
		}
		w.till(i, span)
	case 6: // one pair, one way
		j := w.rng.IntN(n)
		w.Cut(i, j, i != j)
		w.till(i, span)
	case 7: // parted in two
		for a := range n {
			for b := range n {
				if (a < n/2) != (b < n/2) {
					w.Cut(a, b, true)
				}
			}
		}
		for a := range n {
			w.till(a, span)
		}
	case 8: // all voters at once
		if w.rng.IntN(3) == 0 {
			for j := range w.list {
				if w.list[j].voter != nil {
					w.Kill(j, w.rng.Int64N(w.Length))
				}
			}
		}
	case 9:
		w.loss, w.twice, w.late = w.rng.Float64()*0.4, w.rng.Float64()*0.5, 1+w.rng.Int64N(w.Length/4)
	case 10:
		w.loss, w.twice, w.late = 0.01, 0.05, 1+w.rng.Int64N(10_000)
	case 11, 12: // its holder has done with it
		if h := w.Holder(l); h >= 0 && !w.list[h].stopped {
			next := ""
			if w.rng.IntN(2) == 0 {
				next = w.list[w.rng.IntN(n)].name
			}
			w.release(w.list[h], l, next)
			w.carry(w.list[h])
		}
	case 13:
		w.change()
	}
	w.push(event{at: w.Now + w.rng.Int64N(w.Length), kind: evFault})
}

// till mends a process's links after a while.
func (w *Simulation) till(i int, span int64) {
	w.cutTill[i] = max(w.cutTill[i], w.Now+span)
	w.push(event{at: w.cutTill[i], kind: evMend, who: i})
}

// change makes the next set of voters, which differs by one, and brings the file to every process within a while. An
// operator waits until the one before is everywhere.
func (w *Simulation) change() {
	if w.Now < w.settled {
		return
	}
	was := w.sets[len(w.sets)-1].Names
	now := slices.Clone(was)
	swap := func() {
		if j := w.rng.IntN(len(w.list)); len(now) < lease.MaxVoters && !slices.Contains(now, w.list[j].name) {
			now = append(now, w.list[j].name)
		}
	}
	if len(now) > 2 && w.rng.IntN(2) == 0 {
		k := w.rng.IntN(len(now))
		now = slices.Delete(now, k, k+1)
		if w.PlantedMistake == TwoAtOnce {
			swap()
		}
	} else {
		swap()
		if w.PlantedMistake == TwoAtOnce && len(now) > 2 {
			now = now[1:]
		}
	}
	if len(now) == len(was) && slices.Equal(now, was) {
		return
	}
	w.sets = append(w.sets, lease.VoterSet{Number: uint64(len(w.sets) + 1), Names: now, Previous: was})
	w.settled = w.Now + 6*w.Length
	for i := range w.list {
		w.push(event{at: w.Now + w.rng.Int64N(2*w.Length), kind: evFile, who: i, arg: int64(len(w.sets))})
	}
	w.trace("voters number %d: %v", len(w.sets), now)
}

// file gives a process the new file; where it is down it reads it at its next start.
func (w *Simulation) file(i int, number uint64) {
	p := w.list[i]
	p.number = max(p.number, number)
	if !p.up {
		return
	}
	if p.stopped { // the signal waits for it
		w.push(event{at: w.Now + tickEvery, kind: evFile, who: i, arg: int64(number)})
		return
	}
	own := p.clock(w.Now)
	by := w.voters(number)
	if slices.Contains(by.Names, p.name) || w.rng.IntN(3) > 0 { // those without a vote are forgotten at times; voters tell them
		p.claimant.SetVoters(number, by.Names)
	}
	switch {
	case w.PlantedMistake == TwoAtOnce: // it takes to any file, as a voter that starts anew and asks nobody would
		by.Previous = nil
		w.vote(p, own, by)
	default:
		p.voter.SetVoters(own, by)
	}
	w.carry(p)
}

// tamper plants a mistake in a message as it is read, where the plan says so.
func (w *Simulation) tamper(p *process, m *lease.Message) {
	pair := p.name + "<" + m.From
	switch w.PlantedMistake {
	case FromAnswer: // as if the question had gone out when the answer came: the newest question's number
		if m.Kind == lease.KindGrantResponse || m.Kind == lease.KindRenewResponse {
			m.RequestID = max(m.RequestID, p.claimant.LastRequestID())
		}
	case FormerVoter:
		if m.Kind == lease.KindGrantResponse {
			if p.voterAt[pair] != 0 {
				m.Incarnation = p.voterAt[pair]
			}
			p.lostAt[pair], p.voterAt[pair] = m.EndedGrants, m.Incarnation
		} else if m.Kind == lease.KindRenewResponse {
			m.EndedGrants, m.Incarnation = p.lostAt[pair], p.voterAt[pair]
		}
	case OldSet:
		switch m.Kind {
		case lease.KindGrantRequest, lease.KindRenewRequest:
			if p.voter != nil {
				m.SetNumber, _ = p.voter.CurrentSet()
			}
		case lease.KindGrantResponse, lease.KindRenewResponse:
			if l, known := w.label[label{p.name, m.From, m.RequestID}]; known && m.Requester == p.born {
				m.SetNumber = l
			}
		}
	case ShortVotes:
		if m.Kind == lease.KindGrantResponse {
			for i := range m.Items {
				m.Items[i].Length += m.Items[i].Length / 10
			}
		}
	case HalfMajority:
		if m.Kind == lease.KindGrantResponse && m.Requester == p.born {
			w.second(p, m)
		}
	case TermReused:
		if m.Kind == lease.KindVoterStatus {
			m.TermFloor = 0
		}
	}
}

// second lets one voter's word count for two.
func (w *Simulation) second(p *process, m *lease.Message) {
	for _, name := range w.voters(m.SetNumber).Names {
		if name != m.From {
			other := *m
			other.From = name
			p.claimant.Receive(p.clock(w.Now), &other)
			return
		}
	}
}

// Settle ends all that goes wrong: links are whole, processes go on or start anew, messages come soon and once.
func (w *Simulation) Settle() {
	w.Calm = true
	w.loss, w.twice, w.late = 0, 0, 5_000
	for k := range w.links {
		w.links[k] = link{}
	}
	for i, p := range w.list {
		w.Continue(i)
		if !p.up {
			w.push(event{at: w.Now, kind: evStart, who: i})
		}
	}
}

// Unheld names a lease that nobody holds and somebody wants, "" for none.
func (w *Simulation) Unheld() string {
	for l, h := range w.leases {
		if w.Holder(l) < 0 {
			return h.name
		}
	}
	return ""
}
