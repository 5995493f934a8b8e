package leaseservice

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"go.etcd.io/bbolt"

	"cairntiller/internal/lease"
)

// TestStore: a voter reads a record that is damaged, or another voter's, and grants a term for the second time. What was
// stored must be there again, and a file that is damaged, in use, another voter's or newer must be refused.
func TestStore(t *testing.T) {
	folder := t.TempDir()
	s, stored, err := openStore(folder, "kandy", "a")
	if err != nil || len(stored.grants) != 0 || stored.termFloor != 0 || stored.setNumber != 0 {
		t.Fatal(stored, err)
	}
	actions := []lease.Action{lease.StoreVoterSet{Number: 3}, lease.StoreGrant{GrantRecord: lease.GrantRecord{Lease: "x", Term: 7, Holder: "b", Incarnation: 11}},
		lease.StoreGrant{GrantRecord: lease.GrantRecord{Lease: "y", Term: 8, Holder: "c", Incarnation: 12}}, lease.DeleteGrant{Lease: "x"}, lease.Send{}}
	if err := s.write(actions, 9); err != nil {
		t.Fatal(err)
	}
	if _, _, err := openStore(folder, "kandy", "a"); !errors.Is(err, ErrInUse) {
		t.Error("two processes have one file:", err)
	}
	s.close()
	s, stored, err = openStore(folder, "kandy", "a")
	want := storedState{grants: []lease.GrantRecord{{Lease: "y", Holder: "c", Term: 8, Incarnation: 12}}, termFloor: 9, setNumber: 3}
	if err != nil || !reflect.DeepEqual(stored, want) {
		t.Fatal(stored, err)
	}
	s.close()
	path := filepath.Join(folder, storeName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(what string, raw []byte, cluster, name string, want error) {
		t.Helper()
		other := t.TempDir()
		at := filepath.Join(other, storeName)
		if err := os.WriteFile(at, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := openStore(other, cluster, name)
		if err == nil {
			s.close()
			t.Errorf("%s: taken", what)
		} else if want != nil && !errors.Is(err, want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	refused("copied from another voter", whole, "kandy", "b", ErrOtherVoter)
	refused("of another fleet", whole, "galle", "a", ErrOtherVoter)
	for cut := 4096; cut < len(whole); cut += 4096 { // it ended the process, by a fault that can't be caught
		other := t.TempDir()
		if err := os.WriteFile(filepath.Join(other, storeName), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, again, err := openStore(other, "kandy", "a")
		if err == nil {
			s.close()
		}
		if err == nil && !reflect.DeepEqual(again.grants, stored.grants) || err != nil && !errors.Is(err, ErrDamaged) && cut > 8192 {
			t.Errorf("cut at %d: %v, %v", cut, again, err)
		}
	}
	for _, text := range []string{"kandy", "y\x83"} { // the owner's record, a lease's
		if !bytes.Contains(whole, []byte(text)) {
			t.Fatalf("%q is not in the file", text)
		}
		flipped := slices.Clone(whole)
		for i := range flipped { // in each page that has it
			if i+len(text) <= len(flipped) && string(whole[i:i+len(text)]) == text {
				flipped[i+len(text)-1] ^= 4
			}
		}
		refused("flipped in "+text, flipped, "kandy", "a", nil)
	}
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		return putRecord(tx.Bucket(metaBucket), ownerKey, ownerRecord{Version: storeVersion + 1, Cluster: "kandy", Voter: "a"})
	})
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	newer, _ := os.ReadFile(path)
	refused("of a later version", newer, "kandy", "a", ErrNewer)
}
