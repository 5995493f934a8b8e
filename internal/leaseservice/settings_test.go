package leaseservice

import (
	"os"
	"path/filepath"
	"testing"

	"cairntiller/internal/sexp"
)

// TestReadSettings guards against voter sets that allow two holders: two voters, one name twice, or two voters replaced
// at a time. Each must be reported as a fault of the file.
func TestReadSettings(t *testing.T) {
	for text, want := range map[string]bool{
		`(leases (voters (names "a" "b" "c")))`: true,
		`(leases (voters (names "a" "b")))`:     false,
		`(leases (voters (names "a" "a" "b")))`: false,
		`(leases)`:                              false,
		`(leases (voters (number 2) (names "a" "b" "c" "d") (before "a" "b" "c")))`:    true,
		`(leases (voters (number 1) (names "a" "b" "c" "d") (before "a" "b" "c")))`:    false,
		`(leases (voters (number 2) (names "a" "d" "e") (before "a" "b" "c")))`:        false,
		`(leases (longest 10ms) (voters (names "a")))`:                                 false,
		`(leases (drift 1) (longest 2s) (voters (names "a" "b" "c" "d" "e" "f" "g")))`: true,
	} {
		path := filepath.Join(t.TempDir(), "f.sexp")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := sexp.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		p := f.Part("leases")
		ReadSettings(p)
		if err := f.Err(); (err == nil) != want {
			t.Errorf("%s: %v", text, err)
		}
	}
}
