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

// TestStore guards against a voter that reads a corrupted record or another voter's, and then grants a term for the
// second time. What was stored must be read back, and a file that is corrupted, in use, another voter's or newer must be
// refused.
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
		t.Error("two processes opened one file:", err)
	}
	s.close()
	s, stored, err = openStore(folder, "kandy", "a")
	want := storedState{grants: []lease.GrantRecord{{Lease: "y", Holder: "c", Term: 8, Incarnation: 12}}, termFloor: 9, setNumber: 3}
	if err != nil || !reflect.DeepEqual(stored, want) {
		t.Fatal(stored, err)
	}
	s.close()
	path := filepath.Join(folder, storeName)
	contents, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	expectRefused := func(what string, raw []byte, cluster, name string, want error) {
		t.Helper()
		other := t.TempDir()
		otherPath := filepath.Join(other, storeName)
		if err := os.WriteFile(otherPath, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := openStore(other, cluster, name)
		if err == nil {
			s.close()
			t.Errorf("%s: accepted", what)
		} else if want != nil && !errors.Is(err, want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	expectRefused("copied from another voter", contents, "kandy", "b", ErrOtherVoter)
	expectRefused("of another cluster", contents, "galle", "a", ErrOtherVoter)
	for cut := 4096; cut < len(contents); cut += 4096 { // a truncated file ended the process with a fault that can't be recovered from
		other := t.TempDir()
		if err := os.WriteFile(filepath.Join(other, storeName), contents[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, again, err := openStore(other, "kandy", "a")
		if err == nil {
			s.close()
		}
		if err == nil && !reflect.DeepEqual(again.grants, stored.grants) || err != nil && !errors.Is(err, ErrCorrupted) && cut > 8192 {
			t.Errorf("truncated at %d: %v, %v", cut, again, err)
		}
	}
	for _, text := range []string{"kandy", "y\x83"} { // the owner's record, and a lease's
		if !bytes.Contains(contents, []byte(text)) {
			t.Fatalf("%q not found in the file", text)
		}
		flipped := slices.Clone(contents)
		for i := range flipped { // on each page that contains it
			if i+len(text) <= len(flipped) && string(contents[i:i+len(text)]) == text {
				flipped[i+len(text)-1] ^= 4
			}
		}
		expectRefused("bit flipped in "+text, flipped, "kandy", "a", nil)
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
	newerFile, _ := os.ReadFile(path)
	expectRefused("of a later version", newerFile, "kandy", "a", ErrNewerVersion)
}
