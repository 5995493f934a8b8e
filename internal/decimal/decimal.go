// Package decimal reads decimal numbers exactly, as whole multiples of a small unit.
package decimal

import "errors"

var errNone = errors.New("no decimal number")

// Micros reads decimal milliseconds as whole microseconds.
func Micros[T ~string | ~[]byte](f T) (int64, error) { return Scaled(f, 3) }

// Scaled reads a decimal number scaled by ten to the given power, rounded down; "-" is 0.
func Scaled[T ~string | ~[]byte](f T, power int) (int64, error) {
	if len(f) == 1 && f[0] == '-' {
		return 0, nil
	}
	sign, v, digits, after := int64(1), int64(0), 0, -1
	for i := range len(f) {
		switch c := f[i]; {
		case c == '-' && i == 0:
			sign = -1
		case c == '.' && after < 0:
			after = 0
		case c >= '0' && c <= '9':
			digits++
			if after >= power {
				continue
			}
			if v > (1<<62)/10 {
				return 0, errNone
			}
			v = v*10 + int64(c-'0')
			if after >= 0 {
				after++
			}
		default:
			return 0, errNone
		}
	}
	if digits == 0 {
		return 0, errNone
	}
	for after = max(after, 0); after < power; after++ {
		if v > (1<<62)/10 {
			return 0, errNone
		}
		v *= 10
	}
	return sign * v, nil
}
