package frontend

import (
	"testing"

	"cairntiller/internal/inflight"
)

type taker struct{ taken int }

func (t *taker) Submit(int64, *inflight.Request)     { t.taken++ }
func (t *taker) ClientGone(int64, *inflight.Request) {}

// TestNothingIsTakenAfterTheEnd guards against a command read just as its connection is ended to make room: it
// would run, and its answer could not be given.
func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	for _, closed := range []bool{false, true} {
		got := &taker{}
		f := New(func() int64 { return 1 }, got, map[string]int{"look": 0}, nil, 9, 1<<20)
		f.SetReady()
		c := &conn{front: f, closed: closed}
		c.query(1, []byte("/* id=1,c=look,d=9,cluster=0 */ SELECT 1"))
		if got.taken == 1 == closed {
			t.Errorf("ended %v, taken %d", closed, got.taken)
		}
	}
}

// TestRoomForOneMore: the ended ones hold descriptors, not places; they are read on for as long as there is room, so
// that what was said last to them arrives.
func TestRoomForOneMore(t *testing.T) {
	for name, c := range map[string]struct {
		phases           []phase // of 32 places, two of them for the ended; the first are the oldest
		age              int64
		out, ended, over bool
	}{
		"room":                        {filled(29, busy), 0, false, false, false},
		"all busy":                    {filled(30, busy), 0, false, false, true},
		"ended ones beside the busy":  {append(filled(30, busy), gone), 0, false, false, true},
		"too many ended ones":         {append(filled(30, busy), gone, gone), 0, false, true, true},
		"ended ones only":             {filled(32, gone), 0, false, true, false},
		"fewer busy, some ended":      {append(filled(29, busy), gone, gone), 0, false, false, false},
		"newcomers":                   {filled(30, fresh), 0, true, false, false},
		"long idle":                   {filled(30, calm), idleWait + 1, true, false, false},
		"idle for a moment":           {filled(30, calm), idleWait - 1, false, false, true},
		"long idle beside many ended": {append(filled(30, calm), gone, gone), idleWait + 1, true, true, false},
	} {
		now := int64(10_000_000)
		f := New(func() int64 { return now }, &taker{}, nil, nil, 32, 1<<20)
		for i, p := range c.phases {
			one := &conn{front: f, number: uint32(i)}
			one.phase.Store(p)
			one.since.Store(now - c.age + int64(i))
			f.conns[one.number] = one
		}
		out, ended, over := f.room()
		if (out != nil) != c.out || (ended != nil) != c.ended || over != c.over {
			t.Errorf("%s: out %v, ended %v, over %v", name, out != nil, ended != nil, over)
		}
		if out != nil && out.number != 0 {
			t.Errorf("%s: number %d goes, not the oldest", name, out.number)
		}
	}
}

func filled(n int, p phase) (all []phase) {
	for range n {
		all = append(all, p)
	}
	return all
}
