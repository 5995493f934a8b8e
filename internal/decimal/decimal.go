// Package decimal reads decimal numbers exactly, as whole multiples of a small unit.
package decimal

import (
	"errors"
	"math"
)

// ErrSyntax is the error of a text that is no decimal number, or too large a one.
var ErrSyntax = errors.New("no decimal number")

// maxBeforeDigit is the largest number that takes one more digit without overflow, with room to spare.
const maxBeforeDigit = (math.MaxInt64/2 + 1) / 10

// Micros reads decimal milliseconds as whole microseconds.
func Micros[T ~string | ~[]byte](text T) (int64, error) { return Scaled(text, 3) }

// Scaled reads a decimal number times ten to the given power; what is smaller than one is cut off. "-" alone is 0. The
// error is ErrSyntax.
func Scaled[T ~string | ~[]byte](text T, power int) (int64, error) {
	if len(text) == 1 && text[0] == '-' {
		return 0, nil
	}
	negative := false
	hasDigits := false
	pastPoint := false
	decimals := 0 // digits after the point that were taken
	value := int64(0)
	for i := range len(text) {
		c := text[i]
		switch {
		case c == '-' && i == 0:
			negative = true
		case c == '.' && !pastPoint:
			pastPoint = true
		case c >= '0' && c <= '9':
			hasDigits = true
			if decimals == power && pastPoint {
				continue
			}
			if value > maxBeforeDigit {
				return 0, ErrSyntax
			}
			value = value*10 + int64(c-'0')
			if pastPoint {
				decimals++
			}
		default:
			return 0, ErrSyntax
		}
	}
	if !hasDigits {
		return 0, ErrSyntax
	}
	for ; decimals < power; decimals++ {
		if value > maxBeforeDigit {
			return 0, ErrSyntax
		}
		value *= 10
	}
	if negative {
		return -value, nil
	}
	return value, nil
}
