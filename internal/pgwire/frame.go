package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
)

const (
	lengthBytes = 4 // the length includes itself, but not the type
	typeBytes   = 1

	// maxRetainedBuffer is the largest buffer that a FrameDecoder keeps while no message is incomplete, in bytes: enough
	// for most commands, and little enough for each of many idle connections.
	maxRetainedBuffer = 1 << 10
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
	d.grow(len(p))
	d.buffer = append(d.buffer, p...)
}

// grow makes room for n more bytes. The buffer is doubled as needed, but does not exceed what the first message takes,
// unless the bytes that have arrived do.
func (d *FrameDecoder) grow(n int) {
	needed := len(d.buffer) + n
	if needed <= cap(d.buffer) {
		return
	}
	size := max(needed, min(2*cap(d.buffer), d.messageLength()))
	d.buffer = append(make([]byte, 0, size), d.buffer...)
}

// messageLength returns the length that the first message in the buffer declares, 0 if that is not known or not allowed.
func (d *FrameDecoder) messageLength() int {
	headerLength, bodyLength, known := d.header()
	if !known || bodyLength < 0 || bodyLength > int64(d.maxBody) {
		return 0
	}
	return headerLength + int(bodyLength)
}

// ExpectTyped makes the decoder expect messages with a type byte, and bodies of up to maxBody bytes, from here on.
func (d *FrameDecoder) ExpectTyped(maxBody int) {
	d.untyped = false
	d.maxBody = maxBody
}

// Buffered returns the number of bytes that have arrived and that Next has not returned yet.
func (d *FrameDecoder) Buffered() int { return len(d.buffer) - d.offset }

// Held returns the bytes of memory that an incomplete message takes, 0 if there is none.
func (d *FrameDecoder) Held() int {
	if d.Buffered() == 0 {
		return 0
	}
	return cap(d.buffer)
}

// Next returns the next message; complete is false until all of it has arrived.
func (d *FrameDecoder) Next() (f Frame, complete bool, err error) {
	rest := d.buffer[d.offset:]
	headerLength, bodyLength, known := d.header()
	if !known {
		d.release()
		return f, false, nil
	}
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

// header returns the length of the next message's header and that which it declares for the body; known is false until
// the header has arrived.
func (d *FrameDecoder) header() (headerLength int, bodyLength int64, known bool) {
	rest := d.buffer[d.offset:]
	headerLength = typeBytes + lengthBytes
	if d.untyped {
		headerLength = lengthBytes
	}
	if len(rest) < headerLength {
		return headerLength, 0, false
	}
	return headerLength, int64(binary.BigEndian.Uint32(rest[headerLength-lengthBytes:])) - lengthBytes, true
}

// release drops a large buffer once all messages in it have been returned. Their bodies stay valid.
func (d *FrameDecoder) release() {
	if d.Buffered() == 0 && cap(d.buffer) > maxRetainedBuffer {
		d.buffer = nil
		d.offset = 0
	}
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
