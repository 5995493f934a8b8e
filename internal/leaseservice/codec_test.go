package leaseservice

import (
	"reflect"
	"testing"

	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
)

// FuzzDecode guards against a message whose terms or times overflow, after which a voter's clock would run backwards.
// Any message that is accepted must be within its bounds and encode to an equal message.
func FuzzDecode(f *testing.F) {
	request := lease.RequestHeader{Header: lease.Header{Incarnation: 1, SetNumber: 1}, RequestID: 9, Generation: 2}
	f.Add(Encode(&lease.GrantRequest{RequestHeader: request, Leases: []lease.WantedLease{{Lease: "x", Term: 5, Length: 7, Full: true, Ticket: 4}}}))
	f.Add(Encode(&lease.RenewResponse{ResponseHeader: lease.ResponseHeader{Requester: 3, SetNames: []string{"a", "b"}, EndedGrants: 4, VoterClock: 8}, RenewedCount: 2}))
	f.Add(Encode(&lease.VoterStatus{TermFloor: 8, LongestLease: 9, SetAge: 10}))
	f.Add([]byte{0x8f, 0x02})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode("a", raw)
		if err != nil {
			return
		}
		w := toWire(m)
		if w.Kind < kindGrantRequest || w.Kind > kindVoterStatus || len(w.SetNames) > lease.MaxVoters || w.LongestLease < 0 || w.SetAge < 0 || w.RenewedCount < 0 {
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
