//go:build review

package standins

import (
	"io"
	"net"
	"time"
)

// Deliver starts a path to a node: whatever is sent to the address that it returns reaches the node at once. What the
// node sends comes in pieces that end with ReadyForQuery, the next one by a gap later than the one before.
func Deliver(node string, gap time.Duration) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go deliver(conn, node, gap)
		}
	}()
	return listener.Addr().String(), nil
}

func deliver(router net.Conn, node string, gap time.Duration) {
	defer router.Close()
	to, err := net.Dial("tcp", node)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		io.Copy(to, router)
		to.Close()
	}()
	piece := ""
	var lastAt time.Time
	for {
		kind, body, err := readMessage(to, true)
		if err != nil {
			return
		}
		piece += message(kind, body)
		if kind != 'Z' {
			continue
		}
		time.Sleep(time.Until(lastAt.Add(gap)))
		if _, err := io.WriteString(router, piece); err != nil {
			return
		}
		piece = ""
		lastAt = time.Now()
	}
}
