// Package soak plays a series of seeds one after the other and sums up which of them broke a rule.
package soak

import (
	"errors"
	"fmt"
	"io"
)

// ErrBroken reports that a rule was broken in a play.
var ErrBroken = errors.New("a rule was broken")

// Series is a series of plays, each drawn from a seed.
type Series struct {
	Name        string // of the proof, for the result line
	From, Seeds uint64
	Output      io.Writer // receives a line for each play, and what it broke
}

// Run plays the series and returns the result line. A play returns a line about itself, and an error that joins all that
// broke a rule.
func (s Series) Run(play func(seed uint64) (line string, err error)) (result string, err error) {
	broken := 0
	for seed := s.From; seed < s.From+s.Seeds; seed++ {
		line, err := play(seed)
		fmt.Fprintf(s.Output, "seed %d: %s\n", seed, line)
		if err != nil {
			broken++
			fmt.Fprintf(s.Output, "seed %d is broken: %v\n", seed, err)
		}
	}
	if broken > 0 {
		return fmt.Sprintf("proof %s: FAILS; broken=%d of seeds=%d from=%d", s.Name, broken, s.Seeds, s.From), ErrBroken
	}
	return fmt.Sprintf("proof %s: holds; seeds=%d from=%d", s.Name, s.Seeds, s.From), nil
}
