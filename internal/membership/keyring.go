package membership

import (
	"bytes"
	"errors"
	"slices"
)

// ErrNoKey means that there is no encryption key to send with.
var ErrNoKey = errors.New("no encryption key")

// ReplaceKeys takes other encryption keys: the first is sent with, all of them are understood, and keys that are not among
// them no longer are. Without a key the error is ErrNoKey and the keys in force stay.
func (s *Service) ReplaceKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return ErrNoKey
	}
	for _, key := range keys {
		if err := s.keyring.AddKey(key); err != nil {
			return err
		}
	}
	if err := s.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range s.keyring.GetKeys() {
		if slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(old, key) }) {
			continue
		}
		if err := s.keyring.RemoveKey(old); err != nil {
			return err
		}
	}
	return nil
}
