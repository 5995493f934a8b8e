package lease

import "github.com/cespare/xxhash/v2"

// Stands tells whether a member is one of the first n by rendezvous hashing of its name with the lease's, among itself
// and others: where everybody would do, few ask, and all agree on who as far as they see the same members.
func Eligible(self string, others []string, lease string, n int) bool {
	mine, before := score(self, lease), 0
	for _, one := range others {
		if s := score(one, lease); s > mine || s == mine && one < self {
			before++
		}
	}
	return before < n
}

func score(name, lease string) uint64 {
	d := xxhash.New()
	d.WriteString(name)
	d.Write([]byte{0})
	d.WriteString(lease)
	return d.Sum64()
}
