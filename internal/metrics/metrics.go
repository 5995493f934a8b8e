// Package metrics keeps the router's counters. They are printed on SIGUSR1 and when a router exits.
package metrics

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Counter is a value that only grows. Its methods are safe for concurrent use.
type Counter struct {
	name  string
	value atomic.Int64
}

// counters holds all counters in the order of their creation.
var counters []*Counter

// New creates a counter. Counters are created as package variables and printed in the order of their creation.
func New(name string) *Counter {
	c := &Counter{name: name}
	counters = append(counters, c)
	return c
}

// Add adds one.
func (c *Counter) Add() { c.value.Add(1) }

// RaiseTo sets the counter to value if that is higher than the current value.
func (c *Counter) RaiseTo(value int64) {
	for {
		highest := c.value.Load()
		if value <= highest || c.value.CompareAndSwap(highest, value) {
			return
		}
	}
}

// Count returns the current value.
func (c *Counter) Count() int64 { return c.value.Load() }

// Value returns the value of the counter with the given name, 0 if there is none.
func Value(name string) int64 {
	for _, c := range counters {
		if c.name == name {
			return c.Count()
		}
	}
	return 0
}

// Print writes all nonzero counters, one per line.
func Print(w io.Writer) {
	for _, c := range counters {
		if value := c.value.Load(); value != 0 {
			fmt.Fprintf(w, "%-28s %d\n", c.name, value)
		}
	}
}
