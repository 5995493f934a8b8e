package routing

// GossipUpdate is the state of a node as observed by another router.
type GossipUpdate struct {
	Node      string
	LearnedAt int64
	// Position is the node's position at that time, 0 if unknown. It must come from the process that the endpoint list
	// names: a position of an earlier process of that node proves nothing.
	Position int64
	Role     Role // Replica for a node that reported not to be the primary
	Silent   bool // the other router received no answer from the node
	Alive    bool // the other router received an answer from the node
}

// GossipReceived processes another router's observation of a node.
//
//   - A position stays valid for the process that reported it, however old the gossip is.
//   - A role is only a hint and counts only if no later answer has shown the role.
//   - Silence only ranks the node behind the others for reads (see expectedCost), because the other router may be the
//     one that is disconnected.
//   - An answer doesn't end a suspicion here, for the same reason; this router checks the node itself instead.
func (r *Router) GossipReceived(now int64, u GossipUpdate) {
	n := r.nodeByName[u.Node]
	if n == nil {
		return
	}
	if u.LearnedAt <= n.movedAt { // learned while it belonged to another shard
		u.Position = 0
		u.Role = RoleUnknown
	}
	if u.LearnedAt > n.positionAt {
		r.observePosition(n, u.Position, u.LearnedAt)
	} else {
		n.position = max(n.position, u.Position)
	}
	if u.LearnedAt > n.roleAt {
		switch u.Role {
		case Primary:
			r.applyPrimaryHint(n, now)
		case Replica:
			r.applyNotPrimaryHint(n, now)
		}
	}
	switch {
	case u.Silent:
		n.peerSilentAt = max(n.peerSilentAt, u.LearnedAt)
	case u.Alive && u.LearnedAt > n.peerSilentAt:
		n.peerSilentAt = 0
		if n.suspected && now-n.checkedAt > recoveryCheckInterval {
			r.checkHealth(n, now, backgroundCheckReserve)
		}
	}
	r.dispatchQueued(n.shard, now)
}

// SetCheckedByPeer sets whether another router checks a node while it is silent or lags, so that this router need not.
func (r *Router) SetCheckedByPeer(name string, checked bool) {
	if n := r.nodeByName[name]; n != nil {
		n.checkedByPeer = checked
	}
}
