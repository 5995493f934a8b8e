// Package eventqueue holds what is due in a simulated run: by time, and of one time in the order in which it was put there, so
// that equal seeds give equal runs.
package eventqueue

import "container/heap"

// Agenda holds events; the zero value is empty.
type Queue[E any] struct {
	items items[E]
	seq   int64
}

type item[E any] struct {
	at, seq int64
	e       E
}

type items[E any] []item[E]

func (s items[E]) Len() int { return len(s) }
func (s items[E]) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s items[E]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *items[E]) Push(x any)   { *s = append(*s, x.(item[E])) }
func (s *items[E]) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = item[E]{}
	*s = old[:len(old)-1]
	return last
}

// Put notes an event for a time.
func (a *Queue[E]) Push(at int64, e E) {
	a.seq++
	heap.Push(&a.items, item[E]{at, a.seq, e})
}

// Next takes the first event that is due up to a time.
func (a *Queue[E]) Pop(till int64) (at int64, e E, due bool) {
	if len(a.items) == 0 || a.items[0].at > till {
		return 0, e, false
	}
	first := heap.Pop(&a.items).(item[E])
	return first.at, first.e, true
}
