package frontend

import "testing"

// TestRoomForOneMore: the ended ones hold descriptors, not places; they are read on for as long as there is room, so
// that what was said last to them arrives.
func TestRoomForOneMore(t *testing.T) {
	for name, c := range map[string]struct {
		phases           []phase // of 32 places, two of them for the ended; the first are the oldest
		age              int64
		out, ended, over bool
	}{
		"room":                        {filled(29, phaseBusy), 0, false, false, false},
		"all busy":                    {filled(30, phaseBusy), 0, false, false, true},
		"ended ones beside the busy":  {append(filled(30, phaseBusy), phaseClosing), 0, false, false, true},
		"too many ended ones":         {append(filled(30, phaseBusy), phaseClosing, phaseClosing), 0, false, true, true},
		"ended ones only":             {filled(32, phaseClosing), 0, false, true, false},
		"fewer busy, some ended":      {append(filled(29, phaseBusy), phaseClosing, phaseClosing), 0, false, false, false},
		"newcomers":                   {filled(30, phaseNew), 0, true, false, false},
		"long idle":                   {filled(30, phaseIdle), idleTimeout + 1, true, false, false},
		"idle for a moment":           {filled(30, phaseIdle), idleTimeout - 1, false, false, true},
		"long idle beside many ended": {append(filled(30, phaseIdle), phaseClosing, phaseClosing), idleTimeout + 1, true, true, false},
	} {
		now := int64(10_000_000)
		f := New(func() int64 { return now }, &countingIntake{}, Config{MaxConnections: 32, MemoryLimit: 1 << 20})
		for i, p := range c.phases {
			one := &session{server: f, number: uint32(i)}
			one.phase.Store(int32(p))
			one.phaseSince.Store(now - c.age + int64(i))
			f.sessions[one.number] = one
		}
		room := f.findRoom()
		if (room.evict != nil) != c.out || (room.closeEnded != nil) != c.ended || room.none != c.over {
			t.Errorf("%s: out %v, ended %v, over %v", name, room.evict != nil, room.closeEnded != nil, room.none)
		}
		if room.evict != nil && room.evict.number != 0 {
			t.Errorf("%s: number %d goes, not the oldest", name, room.evict.number)
		}
	}
}

func filled(n int, p phase) (all []phase) {
	for range n {
		all = append(all, p)
	}
	return all
}
