package membership

import (
	"bytes"
	"slices"
)

// ReplaceKeys takes other encryption keys, one at least: the first is sent with, all of them are understood, and keys that
// are not among them no longer are.
func (s *Service) ReplaceKeys(keys [][]byte) error {
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
