package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
)

const (
	lengthBytes = 4 // the length counts itself, and not the type
	typeBytes   = 1

	// keptBuffer is the room that an empty Splitter keeps: the room for one large value must not be kept forever.
	keptBuffer = 1 << 14
)

// Frame is one message. Type 0 marks the untyped ones that open a connection. Body is valid until the next Feed.
type Frame struct {
	Type byte
	Body []byte
}

// ErrMessageLength is the error of a message with a length that none can have here: the stream can't be trusted.
var ErrMessageLength = errors.New("invalid message length")

// Splitter cuts a stream into messages, however its bytes arrive. It never holds more than has arrived.
type Splitter struct {
	buffer  []byte
	next    int // where in it the next message begins
	maxBody int // longest body taken
	untyped bool
}

// NewSplitter makes one for bodies up to maxBody bytes. A client's stream opens with untyped messages.
func NewSplitter(maxBody int, untyped bool) *Splitter {
	return &Splitter{maxBody: maxBody, untyped: untyped}
}

// Feed adds what has arrived; bodies handed out before are void.
func (s *Splitter) Feed(p []byte) {
	if s.next > 0 {
		left := copy(s.buffer, s.buffer[s.next:])
		s.buffer = s.buffer[:left]
		s.next = 0
	}
	if len(s.buffer) == 0 && cap(s.buffer) > keptBuffer {
		s.buffer = nil
	}
	s.buffer = append(s.buffer, p...)
}

// ExpectTyped makes the following messages ones with a type byte, and bodies up to maxBody bytes.
func (s *Splitter) ExpectTyped(maxBody int) {
	s.untyped = false
	s.maxBody = maxBody
}

// Buffered is how many bytes have arrived of messages not taken yet.
func (s *Splitter) Buffered() int { return len(s.buffer) - s.next }

// Next takes the next message; complete is false until all of it has arrived.
func (s *Splitter) Next() (f Frame, complete bool, err error) {
	rest := s.buffer[s.next:]
	head := typeBytes + lengthBytes
	if s.untyped {
		head = lengthBytes
	}
	if len(rest) < head {
		return f, false, nil
	}
	body := int64(binary.BigEndian.Uint32(rest[head-lengthBytes:])) - lengthBytes
	if body < 0 || body > int64(s.maxBody) {
		return f, false, ErrMessageLength
	}
	if int64(len(rest)-head) < body {
		return f, false, nil
	}
	if !s.untyped {
		f.Type = rest[0]
	}
	end := head + int(body)
	f.Body = rest[head:end]
	s.next += end
	return f, true, nil
}

// Append encodes a message; a type of 0 is left out.
func (f Frame) Append(dst []byte) []byte {
	if f.Type != 0 {
		dst = append(dst, f.Type)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(f.Body)+lengthBytes))
	return append(dst, f.Body...)
}

// cutText takes a string that ends in a zero byte off the front.
func cutText(b []byte) (s string, rest []byte, ok bool) {
	end := bytes.IndexByte(b, 0)
	if end < 0 {
		return "", nil, false
	}
	return string(b[:end]), b[end+1:], true
}

// appendText encodes a string, which holds no zero byte.
func appendText(dst []byte, s string) []byte {
	dst = append(dst, s...)
	return append(dst, 0)
}
