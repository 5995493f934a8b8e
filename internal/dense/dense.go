// Package dense helps figures that stand in parallel arrays under one dense index.
package dense

// Put sets an array's figure at an index, which may be the one behind its last.
func Put[T any](a *[]T, n int, v T) {
	if n == len(*a) {
		*a = append(*a, v)
	} else {
		(*a)[n] = v
	}
}
