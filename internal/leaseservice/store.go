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

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
)

// The lasting place of a voter: one file of the storage library, whose commits are atomic and synced. Each record has a
// sum of its own over key and value, for the library looks at its own pages only as far as their form.
const (
	storeName    = "leases.db"
	storeVersion = 1
	storeWait    = time.Second // for another process to let go of the file
)

var (
	inMeta   = []byte("meta")
	inLeases = []byte("leases")
	keyOwner = []byte("owner")
	keyFloor = []byte("floor")
	keySet   = []byte("set")
)

// Why a lasting place is refused.
var (
	ErrDamaged    = errors.New("a record does not match its sum")
	ErrOtherVoter = errors.New("it belongs to another voter")
	ErrNewer      = errors.New("it was written by a later version")
)

// store is an open lasting place.
type store struct {
	db   *bbolt.DB
	path string
}

// owner is whose file it is.
type owner struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Cluster string
	Name    string
}

// record is one lease's.
type record struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Holder string
	Born   uint64
}

// openStore opens a voter's file in a folder, or makes it; kept is what it holds. A file that is damaged, another
// voter's, or a later version's is refused, and left as it is.
func openStore(folder, cluster, name string) (s *store, kept []lease.GrantRecord, floor, set uint64, err error) {
	path := filepath.Join(folder, storeName)
	// The library maps the file: where it was cut short, reading what it says there is would end the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() { // the library panics on pages that can't be
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", path, ErrDamaged, r)
		}
		if err != nil && s != nil {
			s.db.Close()
			s = nil
		}
	}()
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, 0, 0, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: storeWait})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, nil, 0, 0, fmt.Errorf("%s: another process has it", path)
	}
	if err != nil {
		return nil, nil, 0, 0, fmt.Errorf("%s: %w", path, err)
	}
	s = &store{db, path}
	err = db.Update(func(tx *bbolt.Tx) error {
		if st, err := os.Stat(path); err != nil || st.Size() < tx.Size() { // Check reads on a goroutine of its own
			return fmt.Errorf("%w: the file is cut short", ErrDamaged)
		}
		for e := range tx.Check() {
			return fmt.Errorf("%w: %v", ErrDamaged, e)
		}
		meta, err := tx.CreateBucketIfNotExists(inMeta)
		if err != nil {
			return err
		}
		leases, err := tx.CreateBucketIfNotExists(inLeases)
		if err != nil {
			return err
		}
		o := owner{Version: storeVersion, Cluster: cluster, Name: name}
		if raw := meta.Get(keyOwner); raw == nil {
			if err := put(meta, keyOwner, o); err != nil {
				return err
			}
		} else if err := get(keyOwner, raw, &o); err != nil {
			return err
		}
		switch {
		case o.Version > storeVersion:
			return fmt.Errorf("%w: %d, this one knows %d", ErrNewer, o.Version, storeVersion)
		case o.Cluster != cluster || o.Name != name:
			return fmt.Errorf("%w: %q of cluster %q", ErrOtherVoter, o.Name, o.Cluster)
		}
		for key, to := range map[string]*uint64{string(keyFloor): &floor, string(keySet): &set} {
			if raw := meta.Get([]byte(key)); raw != nil {
				if err := get([]byte(key), raw, to); err != nil {
					return err
				}
			}
		}
		return leases.ForEach(func(k, raw []byte) error {
			var r record
			if err := get(k, raw, &r); err != nil {
				return err
			}
			kept = append(kept, lease.GrantRecord{Lease: string(k), Holder: r.Holder, Term: r.Term, Incarnation: r.Born})
			return nil
		})
	})
	if err != nil {
		return s, nil, 0, 0, fmt.Errorf("%s: %w", path, err)
	}
	return s, kept, floor, set, nil
}

// sum is over key and value together, so that a value under another key is found too.
func sum(key, value []byte) uint64 {
	d := xxhash.New()
	d.Write(key)
	d.Write([]byte{0})
	d.Write(value)
	return d.Sum64()
}

func put(b *bbolt.Bucket, key []byte, v any) error {
	raw := codec.Encode(v)
	return b.Put(key, binary.BigEndian.AppendUint64(raw, sum(key, raw)))
}

func get(key, raw []byte, v any) error {
	n := len(raw) - 8
	if n < 0 || binary.BigEndian.Uint64(raw[n:]) != sum(key, raw[:n]) {
		return fmt.Errorf("%w: %q", ErrDamaged, key)
	}
	if err := decoding.Unmarshal(raw[:n], v); err != nil {
		return fmt.Errorf("%w: %q: %v", ErrDamaged, key, err)
	}
	return nil
}

// keep writes what a voter wants kept, all in one commit; when it returns it is on the disk.
func (s *store) keep(actions []lease.Action, floor uint64) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %w: %v", s.path, ErrDamaged, r)
		}
	}()
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, leases := tx.Bucket(inMeta), tx.Bucket(inLeases)
		for _, o := range actions {
			var err error
			switch a := o.(type) {
			case lease.StoreGrant:
				err = put(leases, []byte(a.Lease), record{Term: a.Term, Holder: a.Holder, Born: a.Incarnation})
			case lease.StoreVoterSet:
				err = put(meta, keySet, a.Number)
			case lease.DeleteGrant:
				err = leases.Delete([]byte(a.Lease))
			}
			if err != nil {
				return err
			}
		}
		return put(meta, keyFloor, floor)
	})
}

func (s *store) close() { s.db.Close() }
