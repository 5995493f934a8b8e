package frontend

import (
	"testing"

	"cairntiller/internal/stream"
)

// TestEvictionChoice checks which session is closed for a new connection. Lingering sessions hold descriptors but do
// not count against the session limit; they are kept for as long as there are descriptors, so that their last answer
// arrives.
func TestEvictionChoice(t *testing.T) {
	for name, c := range map[string]struct {
		phases                        []phase // of 32 connections, two of them reserved for lingering sessions; oldest first
		age                           int64
		evict, closeLingering, reject bool
	}{
		"below the limit":           {repeatPhase(29, phaseBusy), 0, false, false, false},
		"all busy":                  {repeatPhase(30, phaseBusy), 0, false, false, true},
		"busy, one lingering":       {append(repeatPhase(30, phaseBusy), phaseClosing), 0, false, false, true},
		"busy, too many lingering":  {append(repeatPhase(30, phaseBusy), phaseClosing, phaseClosing), 0, false, true, true},
		"lingering only":            {repeatPhase(32, phaseClosing), 0, false, true, false},
		"fewer busy, two lingering": {append(repeatPhase(29, phaseBusy), phaseClosing, phaseClosing), 0, false, false, false},
		"new":                       {repeatPhase(30, phaseNew), 0, true, false, false},
		"long idle":                 {repeatPhase(30, phaseIdle), idleTimeout + 1, true, false, false},
		"idle briefly":              {repeatPhase(30, phaseIdle), idleTimeout - 1, false, false, true},
		"long idle, many lingering": {append(repeatPhase(30, phaseIdle), phaseClosing, phaseClosing), idleTimeout + 1, true, true, false},
	} {
		now := int64(10_000_000)
		server := New(func() int64 { return now }, &countingHandler{}, Config{MaxConnections: 32, MemoryLimit: 1 << 20})
		for i, p := range c.phases {
			s := &session{server: server, stream: &stream.Stream{}, number: uint32(i)}
			s.phase.Store(int32(p))
			s.phaseSince.Store(now - c.age + int64(i))
			server.sessions[s.number] = s
		}
		choice := server.chooseEviction()
		if (choice.evict != nil) != c.evict || (choice.closeLingering != nil) != c.closeLingering || choice.rejectNew != c.reject {
			t.Errorf("%s: evict %v, close lingering %v, reject %v", name, choice.evict != nil, choice.closeLingering != nil, choice.rejectNew)
		}
		if choice.evict != nil && choice.evict.number != 0 {
			t.Errorf("%s: evicts number %d, not the oldest", name, choice.evict.number)
		}
	}
}

func repeatPhase(n int, p phase) (all []phase) {
	for range n {
		all = append(all, p)
	}
	return all
}
