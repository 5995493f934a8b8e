package adminsocket

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"cairntiller/internal/sexp"
)

const (
	// maxLine is how many bytes a line may have: a rollout plan of thousands of members fits.
	maxLine = 1 << 20
	// writeTimeout is how long the other side may take to read a line.
	writeTimeout = 5 * time.Second
)

// Errors of a request.
var (
	ErrSocketInUse = errors.New("another router listens")
	ErrNotASocket  = errors.New("is no socket")
	ErrNoRouter    = errors.New("no router answers")
	ErrNoAnswer    = errors.New("no answer")
)

// RefusedError is why a router refused a request, in its words.
type RefusedError struct{ Reason string }

// Error returns the router's words alone.
func (e *RefusedError) Error() string { return e.Reason }

// Settings are what the operator's file says in its part control.
type Settings struct {
	Enabled bool
	Socket  string // path of the socket
}

// ReadSettings reads the settings from the operator's file, and reports each fault in it to the part.
func ReadSettings(p *sexp.Part) Settings {
	s := Settings{Enabled: p.Present(), Socket: p.Text("socket", "")}
	if s.Enabled && !filepath.IsAbs(s.Socket) {
		p.AddError("socket", fmt.Sprintf("%q", s.Socket), `a path such as "/run/cairntiller/control.sock"`)
	}
	return s
}

// Request is what an operator asks for.
type Request struct {
	Command string            `json:"verb"`
	Name    string            `json:"name,omitempty"`
	Args    map[string]string `json:"args,omitempty"`
	Text    string            `json:"text,omitempty"` // a rollout plan, for example
}

// Refusal is the last line of a request that was refused.
type Refusal struct {
	Error string `json:"error"`
}

// newLineScanner reads the lines of a connection.
func newLineScanner(conn net.Conn) *bufio.Scanner {
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLine)
	return lines
}

// writeLine writes a value as one line.
func writeLine(conn net.Conn, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = conn.Write(append(raw, '\n'))
	return err
}
