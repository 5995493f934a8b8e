package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Compares the duplicate filter with a plain set of all received messages.
func TestDuplicateFilterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		filters := newAdmission(0, "kandy", 4)
		incarnations, highest := map[string]uint64{}, map[string]uint64{}
		taken := map[string]bool{}
		for range rapid.IntRange(1, 300).Draw(t, "messages") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "born")
			number := rapid.OneOf(rapid.Uint64Range(1, 40), rapid.Uint64Range(1, 5000)).Draw(t, "number")
			want := incarnation >= incarnations[name]
			if incarnation > incarnations[name] {
				incarnations[name], highest[name] = incarnation, 0
			}
			id := fmt.Sprint(name, incarnation, "/", number)
			want = want && !taken[id] && number+duplicateWindow > highest[name]
			if got := filters.recordIfNew(name, incarnation, number); got != want {
				t.Fatalf("message %s with highest number %d: new %v, want %v", id, highest[name], got, want)
			}
			if want {
				taken[id] = true
				highest[name] = max(highest[name], number)
			}
		}
	})
}
