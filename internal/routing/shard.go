package routing

import "slices"

// shard is a group of nodes that hold the same data: one primary and its replicas.
type shard struct {
	members []*node
	turn    int        // counts on, so that equal members take turns
	queue   []*request // in the order of enqueue

	primary        *node // believed primary, nil for none (primary.go)
	primarySeenAt  int64 // when a node last answered as the primary
	primaryAskedAt int64 // when a member was last asked whether it is the primary

	admitProbability float64 // share of its reads that is admitted (admission.go)
	admitCredit      float64 // of which this much is left over for the next read
}

// shardFor is the shard with a number. A new one starts its turns at a chance member, so that routers don't send their first
// requests to one and the same node.
func (r *Router) shardFor(number int) *shard {
	if s, known := r.shardByNumber[number]; known {
		return s
	}
	s := &shard{admitProbability: 1, turn: r.random.below(1 << 16)}
	r.shardByNumber[number] = s
	r.shards = append(r.shards, s)
	return s
}

// remove takes a node out of the shard.
func (s *shard) remove(n *node) {
	s.members = slices.DeleteFunc(s.members, func(member *node) bool { return member == n })
	if s.primary == n {
		s.primary = nil
	}
}

// memberInTurn is the member at an index of this turn's order.
func (s *shard) memberInTurn(i int) *node {
	return s.members[(s.turn+i)%len(s.members)]
}
