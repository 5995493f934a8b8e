package soak

import (
	"errors"
	"strings"
	"testing"
)

// TestSeriesNamesBrokenSeeds checks that each seed is played once, and that a broken one is named and fails the series.
func TestSeriesNamesBrokenSeeds(t *testing.T) {
	for broken, want := range map[uint64]string{
		6: "proof example: FAILS; broken=1 of seeds=3 from=5",
		9: "proof example: holds; seeds=3 from=5",
	} {
		var output strings.Builder
		var played []uint64
		result, err := Series{Name: "example", From: 5, Seeds: 3, Output: &output}.Run(func(seed uint64) (string, error) {
			played = append(played, seed)
			if seed == broken {
				return "", errors.New("a reason")
			}
			return "", nil
		})
		if result != want || errors.Is(err, ErrBroken) != strings.Contains(want, "FAILS") {
			t.Errorf("%q, %v; want %q", result, err, want)
		}
		if len(played) != 3 || played[0] != 5 || played[2] != 7 {
			t.Errorf("played %v", played)
		}
		if named := strings.Contains(output.String(), "seed 6 is broken: a reason"); named != (broken == 6) {
			t.Errorf("output %q", output.String())
		}
	}
}
