//go:build debug

package invariant

func report(what string) { panic("invariant broken: " + what) }
