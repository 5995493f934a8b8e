package membership

import (
	"bytes"
	"strings"
	"testing"

	"cairntiller/internal/sexp"
)

// Reads the settings of a valid file, and reports all faults of invalid ones together.
func TestReadSettings(t *testing.T) {
	file, err := sexp.Parse("f", []byte(`(fleet (name "r1") (cluster "kandy") (listen "127.0.0.1:7946") (join "10.0.0.1:7946")
		(keys "AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE="))`))
	if err != nil {
		t.Fatal(err)
	}
	settings := ReadSettings(file.Part("fleet"), "n0")
	if err := file.Err(); err != nil || settings.Name != "r1" || !bytes.Equal(settings.Keys[0], testKey(1)) || settings.MaxMembers != 256 {
		t.Errorf("%+v, %v", settings, err)
	}
	file, _ = sexp.Parse("f", []byte(`(fleet (listen "here") (join "10.0.0.1") (keys "short") (members 0))`))
	ReadSettings(file.Part("fleet"), "")
	err = file.Err()
	for _, want := range []string{"a name of 0 bytes", `found "\"here\""`, `found "\"10.0.0.1\""`, "a key of 5 characters", "a whole number from 1 to 10000"} {
		if err == nil || !strings.Contains(err.Error(), want) && !strings.Contains(err.Error(), strings.ReplaceAll(want, `\"`, "")) {
			t.Errorf("missing %s in %v", want, err)
		}
	}
	file, _ = sexp.Parse("f", []byte(`(fleet (name a) (listen "127.0.0.1:1"))`))
	ReadSettings(file.Part("fleet"), "")
	if err := file.Err(); err == nil || !strings.Contains(err.Error(), "no key") {
		t.Error(err)
	}
	if got := ReadSettings(sexp.EmptyFile().Part("fleet"), "n0"); got.Name != "n0" {
		t.Errorf("%+v", got)
	}
}
