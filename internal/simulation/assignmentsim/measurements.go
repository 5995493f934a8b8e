package assignmentsim

import (
	"time"

	"cairntiller/internal/assignment"
)

// Table is an instance's table.
func (c *Cluster) Table(i int) *assignment.Table { return c.instances[i].table }

// InstanceTime is an instance's own time, for calls of its table.
func (c *Cluster) InstanceTime(i int) int64 { return c.instances[i].clock(c) }

// TaskKey is the key of the task that probes a node.
func (c *Cluster) TaskKey(node int) string { return c.nodes[node].key }

// LongestUnprobed is the longest time (us) that any node went unprobed since the last ResetMeasurements, and which node.
func (c *Cluster) LongestUnprobed() (longest int64, node int) {
	for i, n := range c.nodes {
		if n.longestGap > longest {
			longest = n.longestGap
			node = i
		}
	}
	return longest, node
}

// ResetMeasurements begins to measure anew.
func (c *Cluster) ResetMeasurements() {
	for _, n := range c.nodes {
		n.longestGap = 0
		n.lastProbe = c.Now
		n.probes = 0
	}
	c.PeakProbes = 0
	c.TotalProbes = 0
	c.UpdatesSent = 0
	c.Broadcasts = 0
	c.BytesSent = 0
	for _, in := range c.instances {
		in.spent = 0
	}
}

// Probes is how often a node was probed since the last ResetMeasurements.
func (c *Cluster) Probes(node int) int64 { return c.nodes[node].probes }

// MeanTableTime is the wall time that an instance's table took on average since the last ResetMeasurements.
func (c *Cluster) MeanTableTime() time.Duration {
	var sum time.Duration
	for _, in := range c.instances {
		sum += in.spent
	}
	return sum / time.Duration(len(c.instances))
}

// TargetChanges is how often tasks changed their target in an instance's view.
func (c *Cluster) TargetChanges(i int) int64 {
	return c.instances[i].table.Stats(c.InstanceTime(i)).TargetChanges
}

// TargetedTasks is how many tasks an instance is the target of, in the view of another.
func (c *Cluster) TargetedTasks(view, of int) int {
	return c.instances[view].table.TargetedTasks(c.instances[of].name)
}

// Owners is how many live instances own a node's task.
func (c *Cluster) Owners(node int) int {
	count := 0
	for _, in := range c.instances {
		if in.running() && in.table.Owns(c.nodes[node].key) {
			count++
		}
	}
	return count
}
