//go:build debug

package invariant

func report(invariant string) { panic("invariant broken: " + invariant) }
