// Package eventqueue implements the event queue of a discrete-event simulation. Events are ordered by time, and events of
// the same time by insertion order, so that a simulation with the same seed always runs the same way.
package eventqueue

import "container/heap"

// Queue is a priority queue of events. The zero value is an empty queue.
type Queue[E any] struct {
	entries      entries[E]
	lastSequence int64
}

// entry is an event with its sort key: its time, then its sequence number.
type entry[E any] struct {
	at       int64
	sequence int64
	event    E
}

// entries is a min-heap for container/heap.
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
	old[len(old)-1] = entry[E]{} // release references held by the event
	*e = old[:len(old)-1]
	return last
}

// Push schedules an event at the given time.
func (q *Queue[E]) Push(at int64, event E) {
	q.lastSequence++
	heap.Push(&q.entries, entry[E]{at: at, sequence: q.lastSequence, event: event})
}

// Pop removes and returns the earliest event with a time of at most until. due is false if there is none.
func (q *Queue[E]) Pop(until int64) (at int64, event E, due bool) {
	if len(q.entries) == 0 || q.entries[0].at > until {
		return 0, event, false
	}
	next := heap.Pop(&q.entries).(entry[E])
	return next.at, next.event, true
}
