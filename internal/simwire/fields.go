package simwire

import (
	"strconv"

	"cairntiller/internal/decimal"
)

// fieldReader turns fields into numbers and keeps the first fault. "-" reads as 0.
type fieldReader struct {
	server *server
	err    error
}

func (n *fieldReader) fail(name, why string) {
	if n.err == nil {
		n.err = n.server.fault(name, why)
	}
}

func (n *fieldReader) int(field []byte, name string) int64 {
	if string(field) == "-" {
		return 0
	}
	value, err := strconv.ParseInt(string(field), 10, 64)
	if err != nil {
		n.fail(name, "no whole number")
	}
	return value
}

func (n *fieldReader) float(field []byte, name string) float64 {
	if string(field) == "-" {
		return 0
	}
	value, err := strconv.ParseFloat(string(field), 64)
	if err != nil {
		n.fail(name, "no number")
	}
	return value
}

// time reads decimal milliseconds as us.
func (n *fieldReader) time(field []byte, name string) int64 {
	value, err := decimal.Micros(field)
	if err != nil {
		n.fail(name, err.Error())
	}
	return value
}

// seconds reads decimal seconds as us.
func (n *fieldReader) seconds(field []byte, name string) int64 {
	value, err := decimal.Scaled(field, 6)
	if err != nil {
		n.fail(name, err.Error())
	}
	return value
}

// text reads a word; "-" stands for none.
func text(field []byte) string {
	if string(field) == "-" {
		return ""
	}
	return string(field)
}
