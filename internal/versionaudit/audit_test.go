package versionaudit

import (
	"slices"
	"testing"
)

// TestFindings checks that an audit of six members reports the one that stays behind, the one that never answers and
// the one without a list, but not the one that was behind in the first round only.
func TestFindings(t *testing.T) {
	a := newAudit([]string{"a", "b", "c", "d", "e", "f"})
	a.recordAnswer(0, "self", 7)
	for name, v := range map[string][2]int64{
		"a": {7, 7}, // up to date
		"b": {5, 7}, // late, but caught up in the second round
		"c": {5, 6}, // still behind what others had in the first round
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

// TestFirstAnswerAloneIsNotBehind checks that a member with an old list that answers only the first round is not
// reported as behind: it may have received the list since.
func TestFirstAnswerAloneIsNotBehind(t *testing.T) {
	a := newAudit([]string{"a", "b"})
	a.recordAnswer(0, "a", 5)
	a.recordAnswer(0, "b", 7)
	a.recordAnswer(1, "b", 7)
	if got := a.findings(); len(got) != 0 {
		t.Errorf("%v", got)
	}
}
