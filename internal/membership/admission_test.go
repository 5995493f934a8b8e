package membership

import (
	"errors"
	"fmt"
	"testing"
)

// Hundreds of instances with new names try to join at once, because of a misconfiguration or an attack. New names are
// rejected after a burst, known ones are always admitted, and the places of members gone for long become available
// again.
func TestAdmissionLimitsNewNames(t *testing.T) {
	limits := newAdmission(0, "kandy", 1000)
	valid := metadata{Version: version, Cluster: "kandy", Weight: 1}
	if err := limits.admit(0, "known", valid); err != nil {
		t.Fatal(err)
	}
	admitted := 0
	for i := range 500 {
		if err := limits.admit(int64(i), fmt.Sprint("flood", i), valid); err == nil {
			admitted++
		} else if !errors.Is(err, ErrTooManyJoins) {
			t.Fatal(err)
		}
	}
	if admitted != joinBurst-1 {
		t.Errorf("%d new names admitted at once, want %d", admitted, joinBurst-1)
	}
	if err := limits.admit(500, "known", valid); err != nil {
		t.Error(err)
	}
	small := newAdmission(0, "kandy", 3)
	for i := range 3 {
		if err := small.admit(0, fmt.Sprint(i), valid); err != nil {
			t.Fatal(err)
		}
	}
	if err := small.admit(0, "3", valid); !errors.Is(err, ErrTooManyMembers) {
		t.Error(err)
	}
	small.markSeen(4000e6, "0")
	if err := small.admit(4000e6, "3", valid); err != nil {
		t.Errorf("the place of a member that is long gone is not available: %v", err)
	}
	if _, kept := small.admitted["0"]; !kept {
		t.Error("a live member lost its place")
	}
}
