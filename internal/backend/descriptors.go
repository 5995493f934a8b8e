package backend

const (
	// closingPart is the part of the connections, one in so many, that may be closing beside those in use, and minClosing
	// the least number: what is spared for the process's own descriptors covers that.
	closingPart = 16
	minClosing  = 8
)

// descriptorBudget bounds the descriptors that connections to nodes hold. A connection that was dropped holds its own
// until it is closed, so those count too, but for a few.
type descriptorBudget struct {
	limit   int // of connections that are open or being opened
	spared  int // closing connections that do not count
	open    int // connections that are open or being opened
	closing int // connections that were dropped and are not closed yet
}

func newDescriptorBudget(connections int) descriptorBudget {
	return descriptorBudget{limit: connections - connections/closingPart, spared: max(minClosing, connections/closingPart)}
}

// hasRoom reports whether one more connection may be opened.
func (b *descriptorBudget) hasRoom() bool { return b.open+max(0, b.closing-b.spared) < b.limit }

// closeOldestIdle drops the connection that has been idle longest, of all nodes; it returns false where none is idle.
func (p *Pool) closeOldestIdle() bool {
	var oldest *node
	for _, n := range p.nodes {
		if len(n.idle) > 0 && (oldest == nil || n.idle[0].idleSince < oldest.idle[0].idleSince) {
			oldest = n
		}
	}
	if oldest == nil {
		return false
	}
	p.drop(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// drop closes a connection that is of no more use.
func (p *Pool) drop(c *connection) {
	p.markDropped(c)
	c.stream.Close()
}

// markDropped notes that a connection is of no more use.
func (p *Pool) markDropped(c *connection) {
	if c.state == dropped {
		return
	}
	c.state = dropped
	p.descriptors.open--
	if !c.closed {
		p.descriptors.closing++
	}
}

// markClosed notes that a connection has given its descriptor back.
func (p *Pool) markClosed(c *connection) {
	c.closed = true
	if c.state == dropped {
		p.descriptors.closing--
	}
}
