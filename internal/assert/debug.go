//go:build debug

package assert

func report(what string) { panic("assertion broken: " + what) }
