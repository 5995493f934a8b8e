package discovery

import (
	"bytes"
	"io"
)

// watchedBody reads a response body, limits the size of each list, and calls onHeartbeat for each sign that discovery
// is alive: anything that arrives between lists, including empty lines, and the beginning of a list. Bytes within a
// list don't count, so that a list that never completes does not keep the watch open.
type watchedBody struct {
	source      io.Reader
	onHeartbeat func()
	listBytes   int // bytes read since the first non-space byte after the last list; 0 between lists
}

// listEnded must be called when a list has been read completely.
func (b *watchedBody) listEnded() { b.listBytes = 0 }

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if b.listBytes == 0 {
		b.onHeartbeat()
	}
	if b.listBytes > 0 || len(bytes.TrimSpace(p[:n])) > 0 {
		b.listBytes += n
	}
	if b.listBytes > maxListBytes {
		return 0, errListTooLong
	}
	return n, err
}
