package lease

import "github.com/cespare/xxhash/v2"

// Eligible reports whether a member should request a lease: it is one of the first n by rendezvous hashing of its name
// with the lease's, among itself and others. If any member may hold a lease, only a few then burden the voters, and
// all members that see the same membership agree on which they are.
func Eligible(self string, others []string, lease string, n int) bool {
	own := rendezvousScore(self, lease)
	before := 0
	for _, other := range others {
		score := rendezvousScore(other, lease)
		if score > own || score == own && other < self {
			before++
		}
	}
	return before < n
}

func rendezvousScore(member, lease string) uint64 {
	digest := xxhash.New()
	digest.WriteString(member)
	digest.Write([]byte{0})
	digest.WriteString(lease)
	return digest.Sum64()
}
