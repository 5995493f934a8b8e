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
	rules := newAdmission(0, "kandy", 1000)
	ok := metadata{Version: version, Cluster: "kandy", Weight: 1}
	if err := rules.admit(0, "known", ok); err != nil {
		t.Fatal(err)
	}
	admitted := 0
	for i := range 500 {
		if err := rules.admit(int64(i), fmt.Sprint("flood", i), ok); err == nil {
			admitted++
		} else if !errors.Is(err, ErrTooManyJoins) {
			t.Fatal(err)
		}
	}
	if admitted != joinBurst-1 {
		t.Errorf("%d new names admitted at once, want %d", admitted, joinBurst-1)
	}
	if err := rules.admit(500, "known", ok); err != nil {
		t.Error(err)
	}
	small := newAdmission(0, "kandy", 3)
	for i := range 3 {
		if err := small.admit(0, fmt.Sprint(i), ok); err != nil {
			t.Fatal(err)
		}
	}
	if err := small.admit(0, "3", ok); !errors.Is(err, ErrTooManyMembers) {
		t.Error(err)
	}
	small.markSeen(4000e6, "0")
	if err := small.admit(4000e6, "3", ok); err != nil {
		t.Errorf("the place of a member that is long gone is not available: %v", err)
	}
	if _, kept := small.admitted["0"]; !kept {
		t.Error("a live member lost its place")
	}
}
