package simwire

import (
	"strconv"

	"cairntiller/internal/decimal"
)

// fieldReader parses numeric fields and keeps the first error. "-" reads as 0.
type fieldReader struct {
	server *server
	err    error
}

func (r *fieldReader) fail(name, reason string) {
	if r.err == nil {
		r.err = r.server.inputError(name, reason)
	}
}

func (r *fieldReader) int(field []byte, name string) int64 {
	if string(field) == "-" {
		return 0
	}
	value, err := strconv.ParseInt(string(field), 10, 64)
	if err != nil {
		r.fail(name, "not a whole number")
	}
	return value
}

func (r *fieldReader) float(field []byte, name string) float64 {
	if string(field) == "-" {
		return 0
	}
	value, err := strconv.ParseFloat(string(field), 64)
	if err != nil {
		r.fail(name, "not a number")
	}
	return value
}

// time parses decimal milliseconds and returns us.
func (r *fieldReader) time(field []byte, name string) int64 {
	value, err := decimal.Micros(field)
	if err != nil {
		r.fail(name, err.Error())
	}
	return value
}

// seconds parses decimal seconds and returns us.
func (r *fieldReader) seconds(field []byte, name string) int64 {
	value, err := decimal.Scaled(field, 6)
	if err != nil {
		r.fail(name, err.Error())
	}
	return value
}

// optionalText returns a field as a string; "-" gives an empty string.
func optionalText(field []byte) string {
	if string(field) == "-" {
		return ""
	}
	return string(field)
}
