package leaseservice

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
)

// A voter's file is one of the storage library bbolt, whose commits are atomic and synced. Bucket meta holds the owner,
// the term floor and the number of the voter set; bucket leases a record for each lease under its name. Each record is
// CBOR with a checksum behind it over key and value, for the library checks its own pages only as far as their form.
const (
	storeName    = "leases.db"
	storeVersion = 1
	// storeTimeout is how long an open waits for another process to let go of the file: one that is about to end.
	storeTimeout = time.Second
	// checksumSize is the size of a record's checksum, in bytes.
	checksumSize = 8
)

var (
	metaBucket   = []byte("meta")
	leasesBucket = []byte("leases")
	ownerKey     = []byte("owner")
	floorKey     = []byte("floor")
	setKey       = []byte("set")
)

// Why a voter's file is refused.
var (
	ErrDamaged    = errors.New("a record does not match its sum")
	ErrOtherVoter = errors.New("it belongs to another voter")
	ErrNewer      = errors.New("it was written by a later version")
	ErrInUse      = errors.New("another process has it")
)

// store is an open voter's file.
type store struct {
	db   *bbolt.DB
	path string
}

// storedState is what a voter's file held when it was opened.
type storedState struct {
	grants    []lease.GrantRecord
	termFloor uint64
	setNumber uint64
}

// ownerRecord says whose file it is.
type ownerRecord struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Cluster string
	Voter   string
}

// grantRecord is a lease's last term and holder.
type grantRecord struct {
	_           struct{} `cbor:",toarray"`
	Term        uint64
	Holder      string
	Incarnation uint64
}

// openStore opens a voter's file in a folder, or makes it, and reads it. A file that is damaged, in use, another voter's
// or a later version's is refused with one of the errors above, and left as it is.
func openStore(folder, cluster, voter string) (s *store, stored storedState, err error) {
	path := filepath.Join(folder, storeName)
	// The library maps the file into memory. If the file was cut short, reading a page that should be there would end
	// the process; this makes it a panic, as the library's own on pages that can't be.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", path, ErrDamaged, r)
		}
		if err != nil && s != nil {
			s.db.Close()
			s = nil
		}
	}()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, storedState{}, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: storeTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, storedState{}, fmt.Errorf("%s: %w", path, ErrInUse)
	}
	if err != nil {
		return nil, storedState{}, fmt.Errorf("%s: %w", path, err)
	}
	s = &store{db, path}
	err = db.Update(func(tx *bbolt.Tx) error {
		if err := checkPages(tx, path); err != nil {
			return err
		}
		meta, leases, err := openBuckets(tx)
		if err != nil {
			return err
		}
		if err := checkOwner(meta, cluster, voter); err != nil {
			return err
		}
		stored, err = readState(meta, leases)
		return err
	})
	if err != nil {
		return s, storedState{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, stored, nil
}

// checkPages checks the form of the file's pages. The library does so on a goroutine of its own, where a fault could not
// be caught, so a file that is cut short is found first.
func checkPages(tx *bbolt.Tx, path string) error {
	if file, err := os.Stat(path); err != nil || file.Size() < tx.Size() {
		return fmt.Errorf("%w: the file is cut short", ErrDamaged)
	}
	for fault := range tx.Check() {
		return fmt.Errorf("%w: %v", ErrDamaged, fault)
	}
	return nil
}

func openBuckets(tx *bbolt.Tx) (meta, leases *bbolt.Bucket, err error) {
	if meta, err = tx.CreateBucketIfNotExists(metaBucket); err != nil {
		return nil, nil, err
	}
	leases, err = tx.CreateBucketIfNotExists(leasesBucket)
	return meta, leases, err
}

// checkOwner refuses a file of another voter, fleet or later version; a new file becomes this voter's.
func checkOwner(meta *bbolt.Bucket, cluster, voter string) error {
	raw := meta.Get(ownerKey)
	if raw == nil {
		return putRecord(meta, ownerKey, ownerRecord{Version: storeVersion, Cluster: cluster, Voter: voter})
	}
	var owner ownerRecord
	if err := decodeRecord(ownerKey, raw, &owner); err != nil {
		return err
	}
	if owner.Version > storeVersion {
		return fmt.Errorf("%w: %d, this one knows %d", ErrNewer, owner.Version, storeVersion)
	}
	if owner.Cluster != cluster || owner.Voter != voter {
		return fmt.Errorf("%w: %q of cluster %q", ErrOtherVoter, owner.Voter, owner.Cluster)
	}
	return nil
}

// readState reads what the voter stored.
func readState(meta, leases *bbolt.Bucket) (stored storedState, err error) {
	if stored.termFloor, err = getNumber(meta, floorKey); err != nil {
		return storedState{}, err
	}
	if stored.setNumber, err = getNumber(meta, setKey); err != nil {
		return storedState{}, err
	}
	err = leases.ForEach(func(name, raw []byte) error {
		var record grantRecord
		if err := decodeRecord(name, raw, &record); err != nil {
			return err
		}
		stored.grants = append(stored.grants, lease.GrantRecord{Lease: string(name), Holder: record.Holder, Term: record.Term, Incarnation: record.Incarnation})
		return nil
	})
	return stored, err
}

// getNumber reads a number, 0 if there is none.
func getNumber(b *bbolt.Bucket, key []byte) (n uint64, err error) {
	raw := b.Get(key)
	if raw == nil {
		return 0, nil
	}
	err = decodeRecord(key, raw, &n)
	return n, err
}

// checksum is over key and value together, so that a value under another key is found too.
func checksum(key, value []byte) uint64 {
	digest := xxhash.New()
	digest.Write(key)
	digest.Write([]byte{0})
	digest.Write(value)
	return digest.Sum64()
}

func putRecord(b *bbolt.Bucket, key []byte, record any) error {
	value := codec.Encode(record)
	return b.Put(key, binary.BigEndian.AppendUint64(value, checksum(key, value)))
}

func decodeRecord(key, raw []byte, record any) error {
	size := len(raw) - checksumSize
	if size < 0 || binary.BigEndian.Uint64(raw[size:]) != checksum(key, raw[:size]) {
		return fmt.Errorf("%w: %q", ErrDamaged, key)
	}
	if err := decoding.Unmarshal(raw[:size], record); err != nil {
		return fmt.Errorf("%w: %q: %v", ErrDamaged, key, err)
	}
	return nil
}

// write stores what a voter wants stored, and its term floor, all in one commit; when it returns it is on the disk.
func (s *store) write(actions []lease.Action, termFloor uint64) (err error) {
	defer func() { // the library panics on pages that can't be
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", s.path, ErrDamaged, r)
		}
	}()
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		leases := tx.Bucket(leasesBucket)
		for _, action := range actions {
			if err := writeAction(meta, leases, action); err != nil {
				return err
			}
		}
		return putRecord(meta, floorKey, termFloor)
	})
}

func writeAction(meta, leases *bbolt.Bucket, action lease.Action) error {
	switch a := action.(type) {
	case lease.StoreGrant:
		return putRecord(leases, []byte(a.Lease), grantRecord{Term: a.Term, Holder: a.Holder, Incarnation: a.Incarnation})
	case lease.StoreVoterSet:
		return putRecord(meta, setKey, a.Number)
	case lease.DeleteGrant:
		return leases.Delete([]byte(a.Lease))
	}
	return nil
}

func (s *store) close() { s.db.Close() }
