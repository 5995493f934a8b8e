package eventqueue

import (
	"slices"
	"testing"
)

// TestOrder: two events of one time came out in another order than they were pushed, and two runs of one seed differed. Events
// come by time, of one time in the order in which they were pushed, and none before its time.
func TestOrder(t *testing.T) {
	var q Queue[string]
	for _, e := range []struct {
		at   int64
		name string
	}{{30, "e"}, {10, "a"}, {20, "c"}, {10, "b"}, {20, "d"}} {
		q.Push(e.at, e.name)
	}
	var got []string
	take := func(until int64) {
		for {
			at, name, due := q.Pop(until)
			if !due {
				return
			}
			if at > until {
				t.Errorf("%s of %d came by %d", name, at, until)
			}
			got = append(got, name)
		}
	}
	take(9)
	if len(got) > 0 {
		t.Errorf("%v came before their time", got)
	}
	take(20)
	q.Push(20, "late")
	take(30)
	if want := []string{"a", "b", "c", "d", "late", "e"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
