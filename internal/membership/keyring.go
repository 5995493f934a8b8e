package membership

import (
	"bytes"
	"errors"
	"slices"
)

// ErrNoKey is returned if there is no encryption key.
var ErrNoKey = errors.New("no encryption key")

// ReplaceKeys replaces the encryption keys: the first is used for sending, all of them are accepted, and other keys no
// longer are. Without keys it returns ErrNoKey and the current keys stay in use.
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
