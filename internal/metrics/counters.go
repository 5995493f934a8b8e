// Package metrics counts what the router takes in, sends and answers.
package metrics

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Counter is one figure; it only grows.
type Counter struct {
	name string
	n    atomic.Int64
}

var all []*Counter

// New makes a counter. Counters are made once, when packages are set up, and printed in that order.
func New(name string) *Counter {
	c := &Counter{name: name}
	all = append(all, c)
	return c
}

// Add counts one more.
func (c *Counter) Add() { c.n.Add(1) }

// Peak keeps the highest value seen.
func (c *Counter) RaiseTo(v int64) {
	for {
		old := c.n.Load()
		if v <= old || c.n.CompareAndSwap(old, v) {
			return
		}
	}
}

// Count is the figure now.
func (c *Counter) Count() int64 { return c.n.Load() }

// Print writes all figures that are not zero, one a line.
func Print(w io.Writer) {
	for _, c := range all {
		if v := c.n.Load(); v != 0 {
			fmt.Fprintf(w, "%-28s %d\n", c.name, v)
		}
	}
}
