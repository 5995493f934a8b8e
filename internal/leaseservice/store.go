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

// A voter's file is a bbolt database, whose commits are atomic and synced. The bucket meta contains the owner, the term
// floor and the number of the voter set; the bucket leases contains a record for each lease, under its name. Each
// record is CBOR followed by a checksum over key and value, because bbolt checks only the structure of its pages.
const (
	storeName    = "leases.db"
	storeVersion = 1
	// storeLockTimeout is how long opening the file waits for another process, which may be about to exit, to unlock
	// it.
	storeLockTimeout = time.Second
	// checksumSize is the size of a record's checksum, in bytes.
	checksumSize = 8
)

var (
	metaBucket   = []byte("meta")
	leasesBucket = []byte("leases")
	ownerKey     = []byte("owner")
	termFloorKey = []byte("floor")
	setNumberKey = []byte("set")
)

// Reasons for refusing a voter's file.
var (
	ErrCorrupted    = errors.New("a record does not match its sum")
	ErrOtherVoter   = errors.New("it belongs to another voter")
	ErrNewerVersion = errors.New("it was written by a later version")
	ErrInUse        = errors.New("it is in use by another process")
)

// store is an open voter's file.
type store struct {
	db   *bbolt.DB
	path string
}

// storedState is the content of a voter's file when it was opened.
type storedState struct {
	grants    []lease.GrantRecord
	termFloor uint64
	setNumber uint64
}

// ownerRecord identifies the voter to which a file belongs.
type ownerRecord struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Cluster string
	Voter   string
}

// grantRecord contains a lease's last term and holder.
type grantRecord struct {
	_           struct{} `cbor:",toarray"`
	Term        uint64
	Holder      string
	Incarnation uint64
}

// openStore opens or creates a voter's file in a folder, and reads it. A file that is corrupted, in use, another voter's
// or of a later version is refused with one of the errors above, and left unchanged.
func openStore(folder, cluster, voter string) (s *store, stored storedState, err error) {
	path := filepath.Join(folder, storeName)
	// bbolt maps the file into memory. If the file was truncated, reading a missing page would end the process; this
	// turns the fault into a panic, like those of bbolt itself on invalid pages.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", path, ErrCorrupted, r)
		}
		if err != nil && s != nil {
			s.db.Close()
			s = nil
		}
	}()
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, storedState{}, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: storeLockTimeout})
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

// checkPages checks the structure of the file's pages. bbolt does so on a goroutine of its own, where a fault can't be
// recovered from, so a truncated file is detected first.
func checkPages(tx *bbolt.Tx, path string) error {
	if file, err := os.Stat(path); err != nil || file.Size() < tx.Size() {
		return fmt.Errorf("%w: the file is truncated", ErrCorrupted)
	}
	for fault := range tx.Check() {
		return fmt.Errorf("%w: %v", ErrCorrupted, fault)
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

// checkOwner refuses a file of another voter, of another cluster or of a later version. A new file becomes this
// voter's.
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
		return fmt.Errorf("%w: format %d, this program supports %d", ErrNewerVersion, owner.Version, storeVersion)
	}
	if owner.Cluster != cluster || owner.Voter != voter {
		return fmt.Errorf("%w: %q of cluster %q", ErrOtherVoter, owner.Voter, owner.Cluster)
	}
	return nil
}

// readState reads the voter's stored state.
func readState(meta, leases *bbolt.Bucket) (stored storedState, err error) {
	if stored.termFloor, err = getNumber(meta, termFloorKey); err != nil {
		return storedState{}, err
	}
	if stored.setNumber, err = getNumber(meta, setNumberKey); err != nil {
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

// checksum covers key and value together, so that a value under the wrong key is detected.
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
		return fmt.Errorf("%w: %q", ErrCorrupted, key)
	}
	if err := strictDecoder.Unmarshal(raw[:size], record); err != nil {
		return fmt.Errorf("%w: %q: %v", ErrCorrupted, key, err)
	}
	return nil
}

// write stores the voter's records and its term floor in one commit, which is durable when write returns.
func (s *store) write(actions []lease.Action, termFloor uint64) (err error) {
	defer func() { // bbolt panics on invalid pages
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", s.path, ErrCorrupted, r)
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
		return putRecord(meta, termFloorKey, termFloor)
	})
}

func writeAction(meta, leases *bbolt.Bucket, action lease.Action) error {
	switch a := action.(type) {
	case lease.StoreGrant:
		return putRecord(leases, []byte(a.Lease), grantRecord{Term: a.Term, Holder: a.Holder, Incarnation: a.Incarnation})
	case lease.StoreVoterSet:
		return putRecord(meta, setNumberKey, a.Number)
	case lease.DeleteGrant:
		return leases.Delete([]byte(a.Lease))
	}
	return nil
}

func (s *store) close() { s.db.Close() }
