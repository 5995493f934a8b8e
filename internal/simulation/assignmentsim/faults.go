package assignmentsim

import "cairntiller/internal/assignment"

// Start starts or restarts an instance without any state.
func (c *Cluster) Start(i int) {
	in := c.instances[i]
	in.incarnation++
	in.up = true
	in.paused = false
	in.stateLoaded = false
	in.unread = nil
	in.unsent = nil
	clear(in.inbox)
	clear(in.views)
	config := c.taskConfig
	config.Self = in.name
	config.Incarnation = in.incarnation
	in.table = assignment.New(in.clock(c), config)
	for _, n := range c.nodes {
		in.table.AddTask(in.clock(c), n.key, n.started)
	}
}

// Kill terminates an instance immediately.
func (c *Cluster) Kill(i int) { c.instances[i].up = false }

// Pause suspends an instance, as SIGSTOP does.
func (c *Cluster) Pause(i int) { c.instances[i].paused = true }

// Resume resumes a paused instance, which then reads the updates that arrived meanwhile.
func (c *Cluster) Resume(i int) { c.instances[i].paused = false }

// SetPartition assigns an instance to a network partition. Only instances of the same partition reach each other.
func (c *Cluster) SetPartition(i, partition int) { c.instances[i].partition = partition }

// CutLink cuts or restores the link from one instance to another.
func (c *Cluster) CutLink(from, to int, cut bool) { setFault(c.cutLinks, [2]int{from, to}, cut) }

// CutNodeLink cuts or restores the link from an instance to a node.
func (c *Cluster) CutNodeLink(i, node int, cut bool) { setFault(c.cutProbes, [2]int{i, node}, cut) }

func setFault(faults map[[2]int]bool, pair [2]int, on bool) {
	delete(faults, pair)
	if on {
		faults[pair] = true
	}
}

// SuspendTasks makes an instance stop running its tasks while its heartbeats continue, or resume running them.
func (c *Cluster) SuspendTasks(i int, on bool) { c.instances[i].tasksSuspended = on }

// SetClock restarts an instance with its clock offset from the simulated time, in us.
func (c *Cluster) SetClock(i int, offset int64) {
	c.instances[i].clockOffset = offset
	c.Start(i)
}

// SetNodeDead makes a node stop or resume answering probes.
func (c *Cluster) SetNodeDead(node int, dead bool) { c.nodes[node].dead = dead }

// ReplaceNode replaces the process of a node. Every running instance learns of it immediately, as from the endpoint list.
func (c *Cluster) ReplaceNode(node int) {
	replaced := c.nodes[node]
	replaced.started = c.Now + 1
	for _, in := range c.instances {
		if in.up {
			in.table.AddTask(in.clock(c), replaced.key, replaced.started)
		}
	}
}
