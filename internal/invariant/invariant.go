// Package invariant checks assumptions at run time. A violation panics in a debug build (-tags debug); a release build
// counts and logs it, and the caller continues with a safe alternative.
package invariant

import "cairntiller/internal/metrics"

var violations = metrics.New("invariants broken")

// Check returns holds, and reports a violation if it is false. The parameter invariant names what should hold, for the
// log.
func Check(holds bool, invariant string) bool {
	if !holds {
		violations.Add()
		report(invariant)
	}
	return holds
}
