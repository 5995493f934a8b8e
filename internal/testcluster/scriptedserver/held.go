package scriptedserver

import (
	"io"
	"net"
	"testing"
)

// Held is a simulated node that completes the startup of a connection only when a test calls Complete.
type Held struct {
	Addr     string
	Startups chan net.Conn // connections whose startup has been read
	Queries  chan string   // messages received on completed connections
}

// StartHeld starts a node that reads startup messages but doesn't answer them by itself. It is stopped when the test ends.
func StartHeld(t testing.TB) *Held {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &Held{ln.Addr().String(), make(chan net.Conn, 99), make(chan string, 99)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			if _, err := ReadFrame(c, false); err == nil {
				h.Startups <- c
			}
		}
	}()
	return h
}

// Complete answers the startup of a connection, and then each query on it with a row.
func (h *Held) Complete(c net.Conn) {
	io.WriteString(c, Welcome)
	go func() {
		for {
			query, err := ReadFrame(c, true)
			if err != nil {
				return
			}
			h.Queries <- string(query)
			io.WriteString(c, Row+Ready)
		}
	}()
}
