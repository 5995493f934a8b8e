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
	// maxLine is the largest length of a line in bytes: a rollout plan of thousands of members fits.
	maxLine = 1 << 20
	// writeTimeout is how long writing a line may block on a peer that doesn't read.
	writeTimeout = 5 * time.Second
)

// Errors of Listen and of requests.
var (
	ErrSocketInUse = errors.New("another router is listening")
	ErrNotASocket  = errors.New("is not a socket")
	ErrNoRouter    = errors.New("no router is listening")
	ErrNoAnswer    = errors.New("no answer")
)

// RefusedError is returned for a refused request, with the reason that the router sent.
type RefusedError struct{ Reason string }

// Error returns the router's reason without any addition.
func (e *RefusedError) Error() string { return e.Reason }

// Settings holds the section control of the operator's file.
type Settings struct {
	Enabled bool
	Socket  string // path of the socket
}

// ReadSettings reads the settings from the operator's file and reports each invalid value to p.
func ReadSettings(p *sexp.Part) Settings {
	s := Settings{Enabled: p.Present(), Socket: p.Text("socket", "")}
	if s.Enabled && !filepath.IsAbs(s.Socket) {
		p.AddError("socket", fmt.Sprintf("%q", s.Socket), `a path such as "/run/cairntiller/control.sock"`)
	}
	return s
}

// Request is the first line of an operator's request.
type Request struct {
	Command string            `json:"verb"`
	Name    string            `json:"name,omitempty"`
	Args    map[string]string `json:"args,omitempty"`
	Text    string            `json:"text,omitempty"` // for example a rollout plan
}

// Refusal is the last line of a request that was refused.
type Refusal struct {
	Error string `json:"error"`
}

// newLineScanner returns a scanner for the lines of a connection, each of up to maxLine bytes.
func newLineScanner(conn net.Conn) *bufio.Scanner {
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLine)
	return lines
}

// writeLine writes a value as one line of JSON.
func writeLine(conn net.Conn, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = conn.Write(append(raw, '\n'))
	return err
}
