package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
)

const (
	lengthBytes = 4 // the length includes itself, but not the type
	typeBytes   = 1

	// maxRetainedBuffer is the largest buffer that an empty FrameDecoder keeps, so that one large message doesn't hold
	// memory forever.
	maxRetainedBuffer = 1 << 14
)

// Frame is one message. Type is 0 for the untyped messages at the start of a connection. The Body of a frame returned
// by Next is valid until the next Feed.
type Frame struct {
	Type byte
	Body []byte
}

// ErrMessageLength is returned for a message length that is impossible or over the limit. The stream can't be decoded
// any further.
var ErrMessageLength = errors.New("invalid message length")

// FrameDecoder decodes a byte stream into messages. It buffers only bytes that have arrived, whatever length a message
// declares.
type FrameDecoder struct {
	buffer  []byte
	offset  int // of the next message in buffer
	maxBody int // length of the longest body accepted
	untyped bool
}

// NewFrameDecoder returns a FrameDecoder for bodies of up to maxBody bytes. A client's stream begins with untyped
// messages.
func NewFrameDecoder(maxBody int, untyped bool) *FrameDecoder {
	return &FrameDecoder{maxBody: maxBody, untyped: untyped}
}

// Feed adds bytes that have arrived. It invalidates the bodies returned before.
func (d *FrameDecoder) Feed(p []byte) {
	if d.offset > 0 {
		left := copy(d.buffer, d.buffer[d.offset:])
		d.buffer = d.buffer[:left]
		d.offset = 0
	}
	if len(d.buffer) == 0 && cap(d.buffer) > maxRetainedBuffer {
		d.buffer = nil
	}
	d.buffer = append(d.buffer, p...)
}

// ExpectTyped makes the decoder expect messages with a type byte, and bodies of up to maxBody bytes, from here on.
func (d *FrameDecoder) ExpectTyped(maxBody int) {
	d.untyped = false
	d.maxBody = maxBody
}

// Buffered returns the number of bytes that have arrived and that Next has not returned yet.
func (d *FrameDecoder) Buffered() int { return len(d.buffer) - d.offset }

// Next returns the next message; complete is false until all of it has arrived.
func (d *FrameDecoder) Next() (f Frame, complete bool, err error) {
	rest := d.buffer[d.offset:]
	headerLength := typeBytes + lengthBytes
	if d.untyped {
		headerLength = lengthBytes
	}
	if len(rest) < headerLength {
		return f, false, nil
	}
	bodyLength := int64(binary.BigEndian.Uint32(rest[headerLength-lengthBytes:])) - lengthBytes
	if bodyLength < 0 || bodyLength > int64(d.maxBody) {
		return f, false, ErrMessageLength
	}
	if int64(len(rest)-headerLength) < bodyLength {
		return f, false, nil
	}
	if !d.untyped {
		f.Type = rest[0]
	}
	end := headerLength + int(bodyLength)
	f.Body = rest[headerLength:end]
	d.offset += end
	return f, true, nil
}

// Append appends the encoded message to dst; a type of 0 is omitted.
func (f Frame) Append(dst []byte) []byte {
	if f.Type != 0 {
		dst = append(dst, f.Type)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(f.Body)+lengthBytes))
	return append(dst, f.Body...)
}

// cutCString takes a string that ends in a zero byte off the front.
func cutCString(b []byte) (s string, rest []byte, ok bool) {
	end := bytes.IndexByte(b, 0)
	if end < 0 {
		return "", nil, false
	}
	return string(b[:end]), b[end+1:], true
}

// appendCString encodes a string, which holds no zero byte.
func appendCString(dst []byte, s string) []byte {
	dst = append(dst, s...)
	return append(dst, 0)
}
