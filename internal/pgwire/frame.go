// Package pgwire parses and encodes version 3 of PostgreSQL's wire protocol. It knows no sockets: bytes go
// in, small typed values come out, and the other way round.
package pgwire

import (
	"encoding/binary"
	"errors"
)

// Frame is one message. Type 0 marks the untyped ones that open a connection. Body stands until the next Feed.
type Frame struct {
	Type byte
	Body []byte
}

// ErrLength tells that a message claims a length that none can have here: the stream can't be trusted.
var ErrMessageLength = errors.New("invalid message length")

// Splitter cuts a stream into messages, however its bytes arrive. It never holds more than has arrived.
type Splitter struct {
	buf     []byte
	from    int
	most    int  // longest body taken
	untyped bool // the next message has no type byte
}

// NewSplitter makes one for bodies up to most bytes; a client's stream opens with untyped messages.
func NewSplitter(most int, untyped bool) *Splitter { return &Splitter{most: most, untyped: untyped} }

// Feed adds what has arrived; bodies handed out before are void.
func (s *Splitter) Feed(p []byte) {
	if s.from > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.from:])]
		s.from = 0
	}
	if len(s.buf) == 0 && cap(s.buf) > 1<<14 { // one large value must not hold its room for ever
		s.buf = nil
	}
	s.buf = append(s.buf, p...)
}

// Typed tells that from now on messages have a type byte, and bodies up to most bytes.
func (s *Splitter) ExpectTyped(most int) { s.untyped, s.most = false, most }

// Left is how many bytes have arrived of messages not taken yet.
func (s *Splitter) Buffered() int { return len(s.buf) - s.from }

// Next takes the next whole message; whole is false until more has arrived.
func (s *Splitter) Next() (f Frame, whole bool, err error) {
	b, head := s.buf[s.from:], 5
	if s.untyped {
		head = 4
	}
	if len(b) < head {
		return f, false, nil
	}
	n := int64(binary.BigEndian.Uint32(b[head-4:])) - 4
	if n < 0 || n > int64(s.most) {
		return f, false, ErrMessageLength
	}
	if int64(len(b)-head) < n {
		return f, false, nil
	}
	if !s.untyped {
		f.Type = b[0]
	}
	f.Body = b[head : head+int(n)]
	s.from += head + int(n)
	return f, true, nil
}

// Append encodes a message; a type of 0 is left out.
func (f Frame) Append(dst []byte) []byte {
	if f.Type != 0 {
		dst = append(dst, f.Type)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(f.Body)+4))
	return append(dst, f.Body...)
}

// text takes a string that ends in a zero byte off the front.
func text(b []byte) (s string, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
