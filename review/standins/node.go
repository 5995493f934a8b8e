//go:build review

package standins

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Query is a query that has arrived at a node.
type Query struct {
	Node       *Node
	Connection int // number of its connection at the node, from 1
	Conn       net.Conn
	At         time.Time // when its last byte arrived
	Text       string
	Fields     map[string]string // of the comment
	Key, Value string            // the texts in single quotes; a read has no value
	Write      bool
}

// Node is a stand-in for a node.
type Node struct {
	Name, Address string

	// Delay returns how late a connection comes up: how long the node takes to answer its startup. nil for no delay.
	Delay func(connection int) time.Duration
	// Answer returns the answer to a query; an empty one is not sent. It may take its time: a connection carries one
	// query at a time.
	Answer func(q *Query) string
	// Load returns the answer to SHOW load.
	Load func() string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
	accepted int
}

// Listen starts the node, at a free address of the loopback interface or, after Kill, at its former one. Its fields must
// be set before.
func (n *Node) Listen() error {
	address := n.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.Address = listener.Addr().String()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener = listener
	n.open = map[net.Conn]bool{}
	go n.accept(listener)
	return nil
}

func (n *Node) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.accepted++
		n.open[conn] = true
		go n.serve(conn, n.accepted)
		n.mu.Unlock()
	}
}

// Kill ends the node as a crash does: its connections are reset and new ones are refused.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener.Close()
	for conn := range n.open {
		Reset(conn)
	}
}

// Accepted returns how many connections the node has accepted.
func (n *Node) Accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

func (n *Node) serve(conn net.Conn, connection int) {
	defer func() {
		conn.Close()
		n.mu.Lock()
		delete(n.open, conn)
		n.mu.Unlock()
	}()
	if _, _, err := readMessage(conn, false); err != nil {
		return
	}
	if n.Delay != nil {
		time.Sleep(n.Delay(connection))
	}
	if _, err := io.WriteString(conn, welcome); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(conn, true)
		if err != nil || kind != 'Q' {
			return
		}
		if _, err := io.WriteString(conn, n.answer(conn, connection, strings.TrimSuffix(body, "\x00"))); err != nil {
			return
		}
	}
}

func (n *Node) answer(conn net.Conn, connection int, text string) string {
	if text == "SHOW load" {
		return n.Load()
	}
	q := &Query{Node: n, Connection: connection, Conn: conn, At: time.Now(), Text: text, Fields: fields(text), Key: literal(text, 0), Value: literal(text, 1)}
	_, statement, _ := strings.Cut(text, "*/")
	q.Write = strings.HasPrefix(strings.TrimSpace(statement), "INSERT")
	return n.Answer(q)
}

// Reset closes a connection with a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
