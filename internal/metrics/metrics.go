// Package metrics counts what the router takes in, sends and answers. SIGUSR1 prints the counters, and so does the end of
// a router.
package metrics

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Counter is one figure; it only grows. Its methods may be called from any goroutine.
type Counter struct {
	name  string
	value atomic.Int64
}

// counters are all that were made, in that order.
var counters []*Counter

// New makes a counter. Counters are made once, as package variables, and printed in the order in which they were made.
func New(name string) *Counter {
	c := &Counter{name: name}
	counters = append(counters, c)
	return c
}

// Add counts one more.
func (c *Counter) Add() { c.value.Add(1) }

// RaiseTo keeps the highest value seen.
func (c *Counter) RaiseTo(value int64) {
	for {
		highest := c.value.Load()
		if value <= highest || c.value.CompareAndSwap(highest, value) {
			return
		}
	}
}

// Count is the figure now.
func (c *Counter) Count() int64 { return c.value.Load() }

// Print writes all figures that are not zero, one a line.
func Print(w io.Writer) {
	for _, c := range counters {
		if value := c.value.Load(); value != 0 {
			fmt.Fprintf(w, "%-28s %d\n", c.name, value)
		}
	}
}
