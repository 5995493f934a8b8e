package leaseservice

import (
	"reflect"
	"testing"

	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
)

// FuzzDecode: a member sends a message with a term or a time that overflows, and a voter's clock runs backwards. Whatever
// bytes come, what is taken is within its bounds and goes out again as it came in.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(&lease.Message{Kind: lease.KindGrantRequest, Incarnation: 1, SetNumber: 1, RequestID: 9, Generation: 2, Items: []lease.Item{{Lease: "x", Term: 5, Length: 7, Full: true, Ticket: 4}}}))
	f.Add(Encode(&lease.Message{Kind: lease.KindRenewResponse, Requester: 3, SetNames: []string{"a", "b"}, EndedGrants: 4, RenewedCount: 2, VoterClock: 8}))
	f.Add(Encode(&lease.Message{Kind: lease.KindVoterStatus, TermFloor: 8, LongestLease: 9, SetAge: 10}))
	f.Add([]byte{0x8f, 0x02})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode("a", raw)
		if err != nil {
			return
		}
		if !m.Kind.Valid() || len(m.SetNames) > lease.MaxVoters || m.LongestLease < 0 || m.SetAge < 0 || m.RenewedCount < 0 {
			t.Fatalf("out of bounds: %+v", m)
		}
		again, err := Decode("a", Encode(m))
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%v: %+v, %+v", err, m, again)
		}
		if len(Encode(m)) > membership.MaxDatagram && len(raw) <= membership.MaxDatagram {
			t.Fatalf("%d bytes became %d", len(raw), len(Encode(m)))
		}
	})
}
