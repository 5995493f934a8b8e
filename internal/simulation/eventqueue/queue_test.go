package eventqueue

import (
	"slices"
	"testing"
)

// TestOrder checks that events are popped by time, events of the same time in insertion order, and none before it is due.
// Without a stable order of simultaneous events, two runs with the same seed differ.
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
				t.Errorf("event %s scheduled at %d was popped by Pop(%d)", name, at, until)
			}
			got = append(got, name)
		}
	}
	take(9)
	if len(got) > 0 {
		t.Errorf("events %v were popped before they were due", got)
	}
	take(20)
	q.Push(20, "late")
	take(30)
	if want := []string{"a", "b", "c", "d", "late", "e"}; !slices.Equal(got, want) {
		t.Errorf("events popped in order %v, want %v", got, want)
	}
}
