package decimal

import (
	"errors"
	"testing"
)

// TestScaled compares values and errors with those recorded from an earlier implementation.
func TestScaled(t *testing.T) {
	for _, c := range []struct {
		text  string
		power int
		want  int64
		ok    bool
	}{
		{"-", 3, 0, true}, {"0", 3, 0, true}, {"7", 0, 7, true}, {"7.9", 0, 7, true}, {"1.2345", 3, 1234, true},
		{"-1.2345", 3, -1234, true}, {".5", 3, 500, true}, {"5.", 3, 5000, true}, {"-.5", 1, -5, true},
		{"461168601842738790", 1, 4611686018427387900, true}, {"461168601842738791", 1, 0, false},
		{"4611686018427387899", 0, 4611686018427387899, true}, {"4611686018427387909", 0, 4611686018427387909, true},
		{"46116860184273879000", 0, 0, false}, {"99999999999999999999", 3, 0, false},
		{"", 3, 0, false}, {".", 3, 0, false}, {"--1", 3, 0, false}, {"1-", 3, 0, false}, {"1.2.3", 3, 0, false},
		{"1e3", 3, 0, false}, {" 1", 3, 0, false}, {"+1", 3, 0, false}, {"-.", 3, 0, false},
	} {
		got, err := Scaled(c.text, c.power)
		if got != c.want || (err == nil) != c.ok || err != nil && !errors.Is(err, ErrSyntax) {
			t.Errorf("Scaled(%q, %d) = %d, %v; want %d, success %v", c.text, c.power, got, err, c.want, c.ok)
		}
		if fromBytes, errBytes := Scaled([]byte(c.text), c.power); fromBytes != got || (errBytes == nil) != (err == nil) {
			t.Errorf("Scaled([]byte(%q), %d) = %d, %v", c.text, c.power, fromBytes, errBytes)
		}
	}
}
