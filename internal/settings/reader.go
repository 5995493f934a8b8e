package settings

import (
	"strconv"

	"cairntiller/internal/decimal"
)

// Reader parses single values and keeps the first error, a *FieldError, in Err. An absent value reads as 0.
type Reader struct {
	Values Values
	Err    error
}

// Time parses decimal milliseconds and returns whole microseconds.
func (r *Reader) Time(path string) int64 { return r.time(path, r.Values[path]) }

func (r *Reader) time(path, value string) int64 {
	if value == "" {
		return 0
	}
	t, err := decimal.Micros(value)
	if err != nil {
		r.fail(path, err.Error())
	}
	return t
}

// Int parses an integer.
func (r *Reader) Int(path string) int {
	if r.Values[path] == "" {
		return 0
	}
	i, err := strconv.Atoi(r.Values[path])
	if err != nil {
		r.fail(path, "not a whole number")
	}
	return i
}

// Float parses a floating-point number.
func (r *Reader) Float(path string) float64 {
	if r.Values[path] == "" {
		return 0
	}
	f, err := strconv.ParseFloat(r.Values[path], 64)
	if err != nil {
		r.fail(path, "not a number")
	}
	return f
}

func (r *Reader) fail(path, reason string) {
	if r.Err == nil {
		r.Err = &FieldError{path, reason}
	}
}
