package clients

import (
	"testing"

	"cairntiller/internal/exchange"
)

type taker struct{ taken int }

func (t *taker) Take(int64, *exchange.Exchange) { t.taken++ }
func (t *taker) Gone(int64, *exchange.Exchange) {}

// TestNothingIsTakenAfterTheEnd guards against a command read just as its connection is ended to make room: it
// would run, and its answer could not be given.
func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	for _, closed := range []bool{false, true} {
		got := &taker{}
		f := New(func() int64 { return 1 }, got, map[string]int{"look": 0}, nil, 9, 1<<20)
		f.Open()
		c := &conn{front: f, closed: closed}
		c.query(1, []byte("/* id=1,c=look,d=9,cluster=0 */ SELECT 1"))
		if got.taken == 1 == closed {
			t.Errorf("ended %v, taken %d", closed, got.taken)
		}
	}
}
