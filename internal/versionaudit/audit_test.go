package versionaudit

import (
	"slices"
	"testing"
)

// TestFindings: six members answer two looks. Reported are the one that stays behind, the one that never answers and the one
// that has no list; one that is late at the first look only is not.
func TestFindings(t *testing.T) {
	a := newAudit([]string{"a", "b", "c", "d", "e", "f"})
	a.recordAnswer(0, "self", 7)
	for name, v := range map[string][2]int64{
		"a": {7, 7}, // as all
		"b": {5, 7}, // late, and caught up
		"c": {5, 6}, // behind what others had at the first look
		"e": {-1, -1},
		"f": {8, 8},
	} {
		a.recordAnswer(0, name, v[0])
		a.recordAnswer(1, name, v[1])
	}
	a.recordAnswer(1, "a", 8)
	a.recordAnswer(1, "b", 8)
	want := []Finding{{"c", Behind, 6, 8}, {"d", Unresponsive, 0, 8}, {"e", WithoutList, 0, 8}}
	if got := a.findings(); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestOneAnswerProvesNothing: a member with an old list answers the first look and not the second. Its list may have come
// meanwhile, so it is not reported as behind.
func TestOneAnswerProvesNothing(t *testing.T) {
	a := newAudit([]string{"a", "b"})
	a.recordAnswer(0, "a", 5)
	a.recordAnswer(0, "b", 7)
	a.recordAnswer(1, "b", 7)
	if got := a.findings(); len(got) != 0 {
		t.Errorf("%v", got)
	}
}
