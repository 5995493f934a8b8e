package routing

import "slices"

// shard is a group of nodes that hold the same data: one primary and its replicas.
type shard struct {
	members  []*node
	rotation int        // incremented so that equal members are used in turn
	queue    []*request // in queue order

	primary          *node // believed primary, nil if none (primary.go)
	primarySeenAt    int64 // when a node last answered as the primary
	primaryQueriedAt int64 // when a member was last queried for the primary

	admitProbability float64 // share of reads that is admitted (admission.go)
	admitCredit      float64 // remainder carried over to the next read
}

// shardFor returns the shard with the given number and creates it if needed. A new shard starts its rotation at a
// random member, so that routers don't all send their first requests to the same node.
func (r *Router) shardFor(number int) *shard {
	if s, known := r.shardByNumber[number]; known {
		return s
	}
	s := &shard{admitProbability: 1, rotation: r.random.intN(1 << 16)}
	r.shardByNumber[number] = s
	r.shards = append(r.shards, s)
	return s
}

// remove removes a node from the shard.
func (s *shard) remove(n *node) {
	s.members = slices.DeleteFunc(s.members, func(member *node) bool { return member == n })
	if s.primary == n {
		s.primary = nil
	}
}

// rotatedMember returns the i-th member in the current rotation.
func (s *shard) rotatedMember(i int) *node {
	return s.members[(s.rotation+i)%len(s.members)]
}
