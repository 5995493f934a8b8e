package routing

// GossipUpdate is what another router learnt of a node.
type GossipUpdate struct {
	Node     string
	LearntAt int64
	// Position is the node's position then, 0 for unknown. It must be of the process that the endpoint list names: one of
	// an earlier process of that node proves nothing.
	Position int64
	Role     Role // Replica for a node that said it isn't the primary
	Silent   bool // the other router had no answer of it
	Alive    bool // the other router had an answer of it
}

// GossipReceived takes what another router learnt of a node.
//
//   - A position stays true of the process that reported it, however old the gossip is.
//   - A role is a hint, and counts only where no answer has shown the role since.
//   - Silence only puts the node behind the others for reads (expectedCost), because the other router may be the one that
//     is cut off.
//   - An answer doesn't end a suspicion here, for the same reason; this router then checks the node for itself.
func (r *Router) GossipReceived(now int64, u GossipUpdate) {
	n := r.nodeByName[u.Node]
	if n == nil {
		return
	}
	if u.LearntAt > n.positionAt {
		r.observePosition(n, u.Position, u.LearntAt)
	} else {
		n.position = max(n.position, u.Position)
	}
	if u.LearntAt > n.roleAt {
		switch u.Role {
		case Primary:
			r.hintPrimary(n, now)
		case Replica:
			r.hintNotPrimary(n, now)
		}
	}
	switch {
	case u.Silent:
		n.peerSilentAt = max(n.peerSilentAt, u.LearntAt)
	case u.Alive && u.LearntAt > n.peerSilentAt:
		n.peerSilentAt = 0
		if n.suspected && now-n.checkedAt > rejoinCheckInterval {
			r.checkHealth(n, now, spareHealthChecks)
		}
	}
	r.dispatchWaiting(n.shard, now)
}

// SetCheckedByPeer reports whether another router checks a node while it is silent or lags, so that this one need not.
func (r *Router) SetCheckedByPeer(name string, checked bool) {
	if n := r.nodeByName[name]; n != nil {
		n.checkedByPeer = checked
	}
}
