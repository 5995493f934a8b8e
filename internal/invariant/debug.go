//go:build debug

package invariant

func report(what string) { panic("assertion broken: " + what) }
