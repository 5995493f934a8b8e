// Package adminsocket lets an operator's commands on the same machine speak with a running router: lines of JSON over a
// Unix socket that its owner alone may open. A request is one line, the answer lines until the router ends the
// connection; a request that runs for long may be followed by further lines.
package adminsocket

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cairntiller/internal/metrics"
	"cairntiller/internal/sexp"
)

const (
	mostLine   = 1 << 20         // bytes of a line: a plan of thousands of members
	mostOpen   = 32              // connections at once: operators, not clients
	firstWait  = 2 * time.Second // for the request
	writeWait  = 5 * time.Second // for a line of the answer to be read
	dialWait   = 2 * time.Second // for a router to take a connection
	staleWait  = time.Second     // for a former router's socket to show that nobody is there
	acceptRest = 50 * time.Millisecond
)

var (
	requests = metrics.New("operators' requests")
	faulty   = metrics.New("operators' requests refused")
)

// Place is where the socket is.
type Settings struct {
	Enabled bool
	Socket  string
}

// Read takes it from the operator's file.
func ReadSettings(p *sexp.Part) Settings {
	at := Settings{p.Present(), p.Text("socket", "")}
	if at.Enabled && !filepath.IsAbs(at.Socket) {
		p.AddFault("socket", fmt.Sprintf("%q", at.Socket), `a path such as "/run/cairntiller/control.sock"`)
	}
	return at
}

// Request is what an operator asks for.
type Request struct {
	Command string            `json:"verb"`
	Name    string            `json:"name,omitempty"`
	Args    map[string]string `json:"args,omitempty"`
	Text    string            `json:"text,omitempty"` // a plan, for example
}

// Exchange is a request under way at the router.
type Session struct {
	Request
	conn net.Conn
	in   *bufio.Scanner
}

// Say writes one line of the answer.
func (x *Session) Reply(v any) error { return writeLine(x.conn, v) }

func writeLine(c net.Conn, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(writeWait))
	_, err = c.Write(append(raw, '\n'))
	return err
}

// Next waits for a further line; the error is io.EOF or why there is none.
func (x *Session) ReadLine(v any) error {
	if !x.in.Scan() {
		return errors.Join(x.in.Err(), net.ErrClosed)
	}
	return json.Unmarshal(x.in.Bytes(), v)
}

// Handler answers a request; its error is told to the operator as the last line.
type Handler func(ctx context.Context, x *Session) error

// Fault is the last line of a request that was refused.
type Refusal struct {
	Error string `json:"error"`
}

// Server takes operators' requests.
type Server struct {
	at   Settings
	ln   net.Listener
	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup

	mu    sync.Mutex
	verbs map[string]Handler
	open  map[net.Conn]bool
}

// Listen makes a server; a socket that a former router left is taken over, one where another answers is not.
func Listen(at Settings) (*Server, error) {
	if c, err := net.DialTimeout("unix", at.Socket, staleWait); err == nil {
		c.Close()
		return nil, fmt.Errorf("control: another router listens at %s", at.Socket)
	}
	if st, err := os.Lstat(at.Socket); err == nil {
		if st.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control: %s is no socket", at.Socket)
		}
		os.Remove(at.Socket)
	}
	ln, err := net.Listen("unix", at.Socket)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(at.Socket, 0o600); err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	s := &Server{at: at, ln: ln, verbs: map[string]Handler{}, open: map[net.Conn]bool{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.done.Go(s.accept)
	return s, nil
}

// Handle sets who answers a verb.
func (s *Server) Handle(verb string, h Handler) {
	s.mu.Lock()
	s.verbs[verb] = h
	s.mu.Unlock()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRest)
			continue
		}
		s.mu.Lock()
		full := len(s.open) >= mostOpen || s.ctx.Err() != nil
		if !full {
			s.open[c] = true
		}
		s.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		s.done.Go(func() {
			s.serve(c)
			s.mu.Lock()
			delete(s.open, c)
			s.mu.Unlock()
			c.Close()
		})
	}
}

func (s *Server) serve(c net.Conn) {
	x := &Session{conn: c, in: bufio.NewScanner(c)}
	x.in.Buffer(nil, mostLine)
	c.SetReadDeadline(time.Now().Add(firstWait))
	if err := x.ReadLine(&x.Request); err != nil {
		faulty.Add()
		x.Reply(Refusal{"a request that can't be read"})
		return
	}
	c.SetReadDeadline(time.Time{})
	requests.Add()
	s.mu.Lock()
	h := s.verbs[x.Command]
	s.mu.Unlock()
	if h == nil {
		faulty.Add()
		x.Reply(Refusal{fmt.Sprintf("this router does not know %q, or that part is off in its file", x.Command)})
		return
	}
	if err := h(s.ctx, x); err != nil {
		faulty.Add()
		slog.Debug("an operator's request was refused", "verb", x.Command, "name", x.Name, "err", err)
		x.Reply(Refusal{err.Error()})
	}
}

// Close ends the server and what is under way.
func (s *Server) Close() {
	s.stop()
	s.ln.Close()
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	os.Remove(s.at.Socket)
}

// Call is a request at the operator's side.
type Call struct {
	conn net.Conn
	in   *bufio.Scanner
}

// Dial sends a request to the router that listens at a socket.
func Dial(socket string, r Request) (*Call, error) {
	conn, err := net.DialTimeout("unix", socket, dialWait)
	if err != nil {
		return nil, fmt.Errorf("no router answers at %s: %w", socket, err)
	}
	c := &Call{conn: conn, in: bufio.NewScanner(conn)}
	c.in.Buffer(nil, mostLine)
	return c, c.Send(r)
}

// Send sends a line.
func (c *Call) Send(v any) error { return writeLine(c.conn, v) }

// Ask sends a request whose answer is one line, and reads it.
func Ask(socket string, r Request, answer any) error {
	c, err := Dial(socket, r)
	if err != nil {
		return err
	}
	defer c.Close()
	if more, err := c.ReadLine(answer); err != nil || !more {
		return errors.Join(err, errors.New("no answer"))
	}
	return nil
}

// Next reads a line of the answer; more is false behind the last one. A refusal comes as an error.
func (c *Call) ReadLine(v any) (more bool, err error) {
	if !c.in.Scan() {
		return false, c.in.Err()
	}
	var f Refusal
	if json.Unmarshal(c.in.Bytes(), &f) == nil && f.Error != "" {
		return false, errors.New(f.Error)
	}
	return true, json.Unmarshal(c.in.Bytes(), v)
}

// Close ends the request.
func (c *Call) Close() { c.conn.Close() }
