package leaseservice

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
)

// goldenMessages returns one message of every kind, with every field that it may have.
func goldenMessages() map[string]lease.Message {
	candidate := lease.Header{From: "a", Incarnation: 11, SetNumber: 3}
	voter := lease.Header{From: "a", Incarnation: 5, SetNumber: 3}
	return map[string]lease.Message{
		"ask": &lease.GrantRequest{RequestHeader: lease.RequestHeader{Header: candidate, RequestID: 9, Generation: 2}, Leases: []lease.WantedLease{
			{Lease: "nightly", Term: 1 << 50, Length: 10_000_000, Full: true, Priority: -3, Ticket: 77},
			{Lease: "task", Term: 6, Length: 400_000, CarryOver: true, Priority: 100}}},
		"renew": &lease.RenewRequest{RequestHeader: lease.RequestHeader{Header: candidate, RequestID: 10, Generation: 2}},
		"free": &lease.Release{RequestHeader: lease.RequestHeader{Header: candidate, RequestID: 12},
			Leases: []lease.ReleasedLease{{Lease: "task", Term: 6, Next: "b"}}},
		"answer": &lease.GrantResponse{ResponseHeader: lease.ResponseHeader{Header: voter, Requester: 11, SetNames: []string{"a", "b", "c"}, RequestID: 9,
			EndedGrants: 4, Generation: 2, VoterClock: 123_456_789}, Leases: everyVerdict()},
		"renewed": &lease.RenewResponse{ResponseHeader: lease.ResponseHeader{Header: voter, Requester: 11, RequestID: 10, EndedGrants: 1<<64 - 1,
			Generation: 2, VoterClock: 99}, RenewedCount: 300,
			Waiting: []lease.WaitingLease{{Lease: "task", Term: 6, First: "c", Priority: 1, WaitedFor: 2_000_000}}},
		"vacant": &lease.ReservationNotice{Header: voter, VoterClock: 99, Leases: []lease.FreeLease{{Lease: "task", Term: 6}}},
		"standing": &lease.VoterStatus{Header: voter, SetNames: []string{"a", "b", "c"}, VoterClock: 99, TermFloor: 1 << 60, LongestLease: 10_000_000,
			SetAge: 5},
	}
}

func everyVerdict() (all []lease.LeaseVerdict) {
	for v := lease.Granted; v <= lease.NoCapacity; v++ {
		wanted := lease.WantedLease{Lease: "l" + fmt.Sprint(uint8(v)), Term: uint64(v), Length: 1_000_000, Full: v%2 == 0}
		all = append(all, lease.LeaseVerdict{WantedLease: wanted, Verdict: v, Holder: "b", Wait: int64(v) * 1000})
	}
	return all
}

func goldenQueries() map[string]queryMessage {
	return map[string]queryMessage{
		"question": {Version: queryVersion, Number: 7, After: "task"},
		"release":  {Version: queryVersion, FreeLease: "task"},
		"page": {Version: queryVersion, Number: 7, IsPage: true, After: "l", More: true, SetNumber: 3, AbstainsFor: 1500, Leases: []queryLease{
			{Lease: "nightly", Holder: "b", Term: 8, Remaining: 900_000, Waiting: 2}, {Lease: "task", Term: 1 << 50}}},
	}
}

// readGolden reads lines of a name and hexadecimal bytes.
func readGolden(t *testing.T, name string) map[string][]byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	golden := map[string][]byte{}
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		key, digits, _ := strings.Cut(line, " ")
		if golden[key], err = hex.DecodeString(digits); err != nil {
			t.Fatal(err)
		}
	}
	return golden
}

// TestGoldenMessages guards compatibility in a cluster with two versions of the program. Members of the previous
// version send and read these bytes; if one field moved, each version would drop the other's messages, and no majority
// of voters would answer.
func TestGoldenMessages(t *testing.T) {
	golden, messages := readGolden(t, "messages.txt"), goldenMessages()
	if len(golden) != len(messages) {
		t.Errorf("%d messages recorded, %d checked", len(golden), len(messages))
	}
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			if got := Encode(m); !bytes.Equal(got, golden[name]) {
				t.Errorf("encoded as %x, recorded %x", got, golden[name])
			}
			got, err := Decode("a", golden[name])
			if err != nil || !reflect.DeepEqual(got, m) {
				t.Errorf("recorded bytes decoded as %+v, %v; want %+v", got, err, m)
			}
		})
	}
}

// TestGoldenQueries guards the compatibility of queries of the voters in a cluster with two versions of the program.
func TestGoldenQueries(t *testing.T) {
	golden, queries := readGolden(t, "queries.txt"), goldenQueries()
	if len(golden) != len(queries) {
		t.Errorf("%d queries recorded, %d checked", len(golden), len(queries))
	}
	for name, p := range queries {
		t.Run(name, func(t *testing.T) {
			if got := codec.Encode(p); !bytes.Equal(got, golden[name]) {
				t.Errorf("encoded as %x, recorded %x", got, golden[name])
			}
			var got queryMessage
			if err := strictDecoder.Unmarshal(golden[name], &got); err != nil || !reflect.DeepEqual(got, p) {
				t.Errorf("recorded bytes decoded as %+v, %v; want %+v", got, err, p)
			}
		})
	}
}

// goldenActions returns the actions that the recorded file stores, and the voter's term floor.
func goldenActions() (actions []lease.Action, floor uint64) {
	return []lease.Action{lease.StoreVoterSet{Number: 3}, lease.StoreGrant{GrantRecord: lease.GrantRecord{Lease: "nightly", Term: 7, Holder: "b", Incarnation: 11}},
		lease.StoreGrant{GrantRecord: lease.GrantRecord{Lease: "task", Term: 1 << 50, Holder: "c", Incarnation: 1<<63 - 1}}, lease.StoreGrant{GrantRecord: lease.GrantRecord{Lease: "x", Term: 2, Holder: "a", Incarnation: 1}},
		lease.DeleteGrant{Lease: "x"}}, 1<<50 + 9
}

// storedBytes returns all keys and values of a voter's file, by bucket and key.
func storedBytes(t *testing.T, path string) map[string][]byte {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	all := map[string][]byte{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				all[string(bucket)+"/"+string(k)] = bytes.Clone(v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// TestGoldenStore guards an upgrade and a rollback of a voter. A voter that could not read the previous version's
// records would not vote; one whose records the previous version can't read could not be rolled back.
func TestGoldenStore(t *testing.T) {
	golden := readGolden(t, "records.txt")
	folder := t.TempDir()
	s, _, err := openStore(folder, "kandy", "a")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.write(goldenActions()); err != nil {
		t.Fatal(err)
	}
	s.close()
	if got := storedBytes(t, filepath.Join(folder, storeName)); !reflect.DeepEqual(got, golden) {
		t.Errorf("wrote %x, recorded %x", got, golden)
	}

	recorded, err := os.ReadFile(filepath.Join("testdata", "voter-v1.db")) // written by the previous version
	if err != nil {
		t.Fatal(err)
	}
	oldFolder := t.TempDir()
	if err := os.WriteFile(filepath.Join(oldFolder, storeName), recorded, 0o600); err != nil {
		t.Fatal(err)
	}
	s, stored, err := openStore(oldFolder, "kandy", "a")
	if err != nil {
		t.Fatal(err)
	}
	s.close()
	want := storedState{termFloor: 1<<50 + 9, setNumber: 3, grants: []lease.GrantRecord{{Lease: "nightly", Holder: "b", Term: 7, Incarnation: 11}, {Lease: "task", Holder: "c", Term: 1 << 50, Incarnation: 1<<63 - 1}}}
	if !reflect.DeepEqual(stored, want) {
		t.Errorf("file of the previous version read as %+v", stored)
	}
	if got := storedBytes(t, filepath.Join(oldFolder, storeName)); !reflect.DeepEqual(got, golden) {
		t.Errorf("file of the previous version contains %x, recorded %x", got, golden)
	}
}
