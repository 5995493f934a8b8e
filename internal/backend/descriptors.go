package backend

const (
	// One in closingDivisor connections may be closing without counting against the limit, and at least
	// minClosingAllowance; that minimum is covered by the descriptors reserved for the process itself.
	closingDivisor      = 16
	minClosingAllowance = 8
)

// descriptorBudget limits the file descriptors used by connections to nodes. A dropped connection holds its descriptor
// until it is closed, so closing connections beyond a small allowance count as well.
type descriptorBudget struct {
	limit            int // limit on open connections plus closing ones beyond the allowance
	closingAllowance int // closing connections that do not count against the limit
	open             int // connections that are open or being opened
	closing          int // connections that were dropped but are not closed yet
}

func newDescriptorBudget(connections int) descriptorBudget {
	return descriptorBudget{limit: connections - connections/closingDivisor, closingAllowance: max(minClosingAllowance, connections/closingDivisor)}
}

// hasRoom reports whether one more connection may be opened.
func (b *descriptorBudget) hasRoom() bool {
	return b.open+max(0, b.closing-b.closingAllowance) < b.limit
}

// closeOldestIdle drops the connection that has been idle the longest, of all nodes; it returns false if none is idle.
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
	oldest.idle[0] = nil
	oldest.idle = oldest.idle[1:]
	return true
}

// drop closes a connection that will not be used again.
func (p *Pool) drop(c *connection) {
	p.markDropped(c)
	c.stream.Close()
}

// markDropped marks a connection as not to be used again.
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

// markClosed records that a connection has released its descriptor.
func (p *Pool) markClosed(c *connection) {
	c.closed = true
	if c.state == dropped {
		p.descriptors.closing--
	}
}
