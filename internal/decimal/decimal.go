// Package decimal parses decimal numbers exactly, as integer multiples of a power of ten.
package decimal

import (
	"errors"
	"math"
)

// ErrSyntax is returned for text that is not a decimal number, or whose value is too large.
var ErrSyntax = errors.New("not a decimal number")

// maxBeforeDigit is the largest value to which a digit may be appended. It is about half of what would fit into an
// int64.
const maxBeforeDigit = (math.MaxInt64/2 + 1) / 10

// Micros parses decimal milliseconds and returns whole microseconds.
func Micros[T ~string | ~[]byte](text T) (int64, error) { return Scaled(text, 3) }

// Scaled parses a decimal number and multiplies it by ten to the given power; the remaining fraction is truncated. A
// lone "-" is 0. The error is ErrSyntax.
func Scaled[T ~string | ~[]byte](text T, power int) (int64, error) {
	if len(text) == 1 && text[0] == '-' {
		return 0, nil
	}
	negative := false
	hasDigits := false
	pastPoint := false
	decimals := 0 // digits read after the decimal point
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
