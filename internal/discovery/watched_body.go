package discovery

import (
	"bytes"
	"io"
)

// watchedBody passes on the bytes of an answer, bounds the bytes of one list, and calls onSign at each sign of life:
// anything that arrives between lists, empty lines included, and the beginning of a list. Bytes within a list are no sign
// of life: a list that never completes must not keep the watch open.
type watchedBody struct {
	from      io.Reader
	onSign    func()
	listBytes int // since something but white space came after the last list, 0 between lists
}

// listEnded is called once a complete list has been read.
func (b *watchedBody) listEnded() { b.listBytes = 0 }

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if b.listBytes == 0 {
		b.onSign()
	}
	if b.listBytes > 0 || len(bytes.TrimSpace(p[:n])) > 0 {
		b.listBytes += n
	}
	if b.listBytes > maxListBytes {
		return 0, errListTooLong
	}
	return n, err
}
