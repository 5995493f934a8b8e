// Package invariant states what must hold: it stops a debug build and is counted by a release build.
package invariant

import "cairntiller/internal/metrics"

var broken = metrics.New("assertions broken")

// That tells whether something that must hold does; what names it.
func That(holds bool, what string) bool {
	if !holds {
		broken.Add()
		report(what)
	}
	return holds
}
