// Package eventqueue holds what is due in a simulated run: by time, and of one time in the order in which it was pushed,
// so that equal seeds give equal runs.
package eventqueue

import "container/heap"

// Queue holds events of a type; the zero value is empty.
type Queue[E any] struct {
	entries entries[E]
	pushed  int64
}

// entry is an event and its place: by time, then by how many were pushed before it.
type entry[E any] struct {
	at       int64
	sequence int64
	event    E
}

// entries is a heap, the next due first.
type entries[E any] []entry[E]

// Len implements heap.Interface.
func (e entries[E]) Len() int { return len(e) }

// Less implements heap.Interface.
func (e entries[E]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e entries[E]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries[E]) Push(x any) { *e = append(*e, x.(entry[E])) }

// Pop implements heap.Interface.
func (e *entries[E]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[E]{} // so that what the event refers to can be freed
	*e = old[:len(old)-1]
	return last
}

// Push schedules an event for a time.
func (q *Queue[E]) Push(at int64, event E) {
	q.pushed++
	heap.Push(&q.entries, entry[E]{at: at, sequence: q.pushed, event: event})
}

// Pop takes the next event that is due up to a time; due is false where there is none.
func (q *Queue[E]) Pop(until int64) (at int64, event E, due bool) {
	if len(q.entries) == 0 || q.entries[0].at > until {
		return 0, event, false
	}
	next := heap.Pop(&q.entries).(entry[E])
	return next.at, next.event, true
}
