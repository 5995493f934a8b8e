package lease

import "github.com/cespare/xxhash/v2"

// Eligible reports whether a member should request a lease: it is among the first n of itself and the others by
// rendezvous hashing of member and lease names. If any member may hold a lease, this limits the load on the voters, and
// all members with the same view of the membership agree on who requests it.
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
