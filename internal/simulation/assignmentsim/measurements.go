package assignmentsim

import (
	"time"

	"cairntiller/internal/assignment"
)

// Table returns an instance's table.
func (c *Cluster) Table(i int) *assignment.Table { return c.instances[i].table }

// InstanceTime returns the time by an instance's own clock, for calls to its table.
func (c *Cluster) InstanceTime(i int) int64 { return c.instances[i].clock(c) }

// TaskKey returns the key of the task that probes a node.
func (c *Cluster) TaskKey(node int) string { return c.nodes[node].key }

// LongestUnprobed returns the longest time (us) that any node went unprobed since the last ResetMeasurements, and the node.
func (c *Cluster) LongestUnprobed() (longest int64, node int) {
	for i, n := range c.nodes {
		if n.longestUnprobed > longest {
			longest = n.longestUnprobed
			node = i
		}
	}
	return longest, node
}

// ResetMeasurements resets all measurements.
func (c *Cluster) ResetMeasurements() {
	for _, n := range c.nodes {
		n.longestUnprobed = 0
		n.lastProbe = c.Now
		n.probes = 0
	}
	c.PeakProbes = 0
	c.TotalProbes = 0
	c.UpdatesSent = 0
	c.Broadcasts = 0
	c.BytesSent = 0
	for _, in := range c.instances {
		in.tableTime = 0
	}
}

// Probes returns the number of probes of a node since the last ResetMeasurements.
func (c *Cluster) Probes(node int) int64 { return c.nodes[node].probes }

// MeanTableTime returns the mean wall time spent in an instance's table since the last ResetMeasurements.
func (c *Cluster) MeanTableTime() time.Duration {
	var sum time.Duration
	for _, in := range c.instances {
		sum += in.tableTime
	}
	return sum / time.Duration(len(c.instances))
}

// TargetChanges returns how often the target of a task changed in an instance's view.
func (c *Cluster) TargetChanges(i int) int64 {
	return c.instances[i].table.Stats(c.InstanceTime(i)).TargetChanges
}

// TargetedTasks returns the number of tasks that have one instance as their target in the view of another.
func (c *Cluster) TargetedTasks(view, of int) int {
	return c.instances[view].table.TargetedTasks(c.instances[of].name)
}

// Owners returns the number of running instances that own a node's task.
func (c *Cluster) Owners(node int) int {
	count := 0
	for _, in := range c.instances {
		if in.running() && in.table.Owns(c.nodes[node].key) {
			count++
		}
	}
	return count
}
