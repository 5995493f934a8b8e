// Package invariant states what must hold. A debug build (-tags debug) stops with a panic where it does not; a release
// build counts and logs it, and its caller goes on with what is safe.
package invariant

import "cairntiller/internal/metrics"

var violations = metrics.New("invariants broken")

// That returns whether something that must hold does; what names it in the log.
func That(holds bool, what string) bool {
	if !holds {
		violations.Add()
		report(what)
	}
	return holds
}
