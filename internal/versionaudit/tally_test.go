package versionaudit

import (
	"slices"
	"testing"
)

// TestJudge reports who stays behind, and nobody who is only late once.
func TestJudge(t *testing.T) {
	look := newTally([]string{"a", "b", "c", "d", "e", "f"})
	look.note(0, "self", 7)
	for name, v := range map[string][2]int64{
		"a": {7, 7}, // as all
		"b": {5, 7}, // late, and caught up
		"c": {5, 6}, // behind what others had at the first look
		"e": {-1, -1},
		"f": {8, 8},
	} {
		look.note(0, name, v[0])
		look.note(1, name, v[1])
	}
	look.note(1, "a", 8)
	look.note(1, "b", 8)
	want := []Finding{{"c", Behind, 6, 8}, {"d", Unresponsive, 0, 8}, {"e", WithoutList, 0, 8}}
	if got := look.judge(); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestOneAnswerProvesNothing takes a member that answered the first look alone: it is not called behind.
func TestOneAnswerProvesNothing(t *testing.T) {
	look := newTally([]string{"a", "b"})
	look.note(0, "a", 5)
	look.note(0, "b", 7)
	look.note(1, "b", 7)
	if got := look.judge(); len(got) != 0 {
		t.Errorf("%v", got)
	}
}
