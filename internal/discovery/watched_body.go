package discovery

import (
	"bytes"
	"io"
)

// watchedBody passes on the bytes of an answer, and tells of its signs of life: all that comes between lists, empty
// lines among it, and the beginning of a list. What comes within a list is none: a list that does not get whole must not
// hold the watch open. It bounds a list's bytes.
type watchedBody struct {
	from      io.Reader
	onSign    func()
	listBytes int // since something but white space came behind the last list, 0 between lists
}

// listEnded tells that a list has been read whole.
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
