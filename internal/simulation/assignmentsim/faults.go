package assignmentsim

import "cairntiller/internal/assignment"

// Start starts an instance, or starts it again under its name, knowing nothing.
func (c *Cluster) Start(i int) {
	in := c.instances[i]
	in.incarnation++
	in.up = true
	in.paused = false
	in.stateTaken = false
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

// Kill ends an instance at once.
func (c *Cluster) Kill(i int) { c.instances[i].up = false }

// Pause holds an instance still, as SIGSTOP does.
func (c *Cluster) Pause(i int) { c.instances[i].paused = true }

// Resume lets a paused instance go on, and read what came meanwhile.
func (c *Cluster) Resume(i int) { c.instances[i].paused = false }

// SetSide puts an instance on one side of a parted network: only those of one side reach each other.
func (c *Cluster) SetSide(i, side int) { c.instances[i].side = side }

// CutOneWay cuts what goes from one instance to another, or mends it.
func (c *Cluster) CutOneWay(from, to int, cut bool) { setFault(c.noRoute, [2]int{from, to}, cut) }

// CutFromNode cuts an instance from one node, or mends it.
func (c *Cluster) CutFromNode(i, node int, cut bool) { setFault(c.noNode, [2]int{i, node}, cut) }

func setFault(faults map[[2]int]bool, pair [2]int, on bool) {
	delete(faults, pair)
	if on {
		faults[pair] = true
	}
}

// Mute makes an instance run nothing while its heartbeats go on, or run again.
func (c *Cluster) Mute(i int, on bool) { c.instances[i].muted = on }

// SetClock starts an instance again with its clock off the simulated time, by us.
func (c *Cluster) SetClock(i int, offset int64) {
	c.instances[i].clockOffset = offset
	c.Start(i)
}

// SetNodeDead makes a node answer nobody, or answer again.
func (c *Cluster) SetNodeDead(node int, dead bool) { c.nodes[node].dead = dead }

// ReplaceNode puts another process behind a node's name; the endpoint list tells every instance.
func (c *Cluster) ReplaceNode(node int) {
	replaced := c.nodes[node]
	replaced.started = c.Now + 1
	for _, in := range c.instances {
		if in.up {
			in.table.AddTask(in.clock(c), replaced.key, replaced.started)
		}
	}
}
