package membership

import (
	"cmp"
	"math"
	"slices"
)

// This file decides how news spreads; it does no I/O and is told the time.

const (
	fanout     = 3     // members that a round goes to: at ten a second each hears of a piece of news soon
	moreRounds = 1     // rounds beyond the logarithm of the members, against loss
	newsKept   = 8192  // messages that wait to be sent on
	mostPacket = 1_300 // bytes in one packet: with what the library adds it fits a usual network's frame
)

// spreader holds the messages that are to be sent on.
type spreader struct {
	items []*item
	lost  int // messages given up unsent for want of room
}

// item is one message on its way.
type item struct {
	e      envelope
	at     int64 // when it was taken, in us
	size   int
	rounds int // in which it was sent
}

// rounds is in how many rounds each instance sends a message: with the logarithm of the members, as epidemics spread
// (Demers and others, 1987).
func rounds(members int) int { return moreRounds + int(math.Ceil(math.Log10(float64(members+1)))) }

// add takes a message in. Where there is no room the one that was sent most often goes, of equals the oldest.
func (s *spreader) add(i *item) {
	if len(s.items) >= newsKept {
		worst := 0
		for n, one := range s.items {
			if one.rounds > s.items[worst].rounds {
				worst = n
			}
		}
		if s.items[worst].rounds == 0 {
			s.lost++
		}
		s.items = slices.Delete(s.items, worst, worst+1)
	}
	s.items = append(s.items, i)
}

// round takes what one round carries, up to so many bytes: what was sent least often first, of equals the oldest.
// Messages that have had all their rounds are dropped.
func (s *spreader) round(members, budget int) (sent []*item) {
	if members < 2 {
		s.items = nil
		return nil
	}
	slices.SortStableFunc(s.items, func(a, b *item) int { return cmp.Compare(a.rounds, b.rounds) })
	most := rounds(members)
	for _, one := range s.items {
		if one.size > budget {
			break
		}
		budget -= one.size
		one.rounds++
		sent = append(sent, one)
	}
	s.items = slices.DeleteFunc(s.items, func(one *item) bool { return one.rounds >= most })
	return sent
}

// targets picks whom a round goes to: all where they are few.
func targets(others int, pick func(n int) int) []int {
	all := make([]int, others)
	for i := range all {
		all[i] = i
	}
	for i := range min(fanout, others) {
		j := i + pick(others-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(fanout, others)]
}

// packets puts encoded messages together.
func packets(all [][]byte) (packed [][]byte) {
	var some [][]byte
	size := 0
	for _, one := range all {
		if len(some) > 0 && size+len(one) > mostPacket {
			packed = append(packed, encode(some))
			some, size = nil, 0
		}
		some, size = append(some, one), size+len(one)+3
	}
	if len(some) > 0 {
		packed = append(packed, encode(some))
	}
	return packed
}
