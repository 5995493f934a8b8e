package routing

import "slices"

// maxUnlistedShards is the number of shards that are kept although no node has ever been listed for them. Clients may name
// any number; a list that arrives late finds the shards of the commands that wait for it.
const maxUnlistedShards = 256

// shard is a group of nodes that hold the same data: one primary and its replicas.
type shard struct {
	number   int
	listed   bool // a node has been listed for it
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
	s := &shard{number: number, admitProbability: 1, rotation: r.random.intN(1 << 16)}
	r.unlistedShards++
	r.shardByNumber[number] = s
	r.shards = append(r.shards, s)
	return s
}

// listShard records that a node is listed for a shard, which is kept from then on.
func (r *Router) listShard(s *shard) {
	if !s.listed {
		s.listed = true
		r.unlistedShards--
	}
}

// removeUnlistedShards removes the shards without nodes and without waiting requests, if there are too many of them.
func (r *Router) removeUnlistedShards() {
	if r.unlistedShards <= maxUnlistedShards {
		return
	}
	r.shards = slices.DeleteFunc(r.shards, func(s *shard) bool {
		if s.listed || len(s.queue) > 0 {
			return false
		}
		delete(r.shardByNumber, s.number)
		r.unlistedShards--
		return true
	})
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
