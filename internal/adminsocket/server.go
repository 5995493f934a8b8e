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
	"sync"
	"time"

	"cairntiller/internal/metrics"
)

const (
	// maxConnections is how many connections may be open at once: operators, not clients. Each cairntiller lease hold keeps
	// one from its request to the end of its command. A connection over the limit is refused.
	maxConnections = 32
	// refusalTimeout is how long a connection over the limit may take to send its request and accept the refusal.
	refusalTimeout = 250 * time.Millisecond
	// requestTimeout is how long a connection may take to send its request.
	requestTimeout = 2 * time.Second
	// staleSocketTimeout is how long a socket that a former router left may take to show that nobody listens.
	staleSocketTimeout = time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted, as for want of descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

var (
	requests        = metrics.New("operators' requests")
	refusedRequests = metrics.New("operators' requests refused")
)

// Handler answers a request. Its error is sent to the operator as the last line.
type Handler func(ctx context.Context, s *Session) error

// Session is a request under way at the router.
type Session struct {
	Request
	conn  net.Conn
	lines *bufio.Scanner
}

// Reply writes one line of the answer.
func (s *Session) Reply(v any) error { return writeLine(s.conn, v) }

// ReadLine waits for a further line from the operator. The error is net.ErrClosed if there is none.
func (s *Session) ReadLine(v any) error {
	if !s.lines.Scan() {
		return errors.Join(s.lines.Err(), net.ErrClosed)
	}
	return json.Unmarshal(s.lines.Bytes(), v)
}

// Server takes operators' requests. Its methods may be called from any goroutine.
type Server struct {
	settings Settings
	listener net.Listener
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu       sync.Mutex
	handlers map[string]Handler // by command
	open     map[net.Conn]bool
}

// Listen opens the socket. One that a former router left is replaced. The error is ErrSocketInUse if a router answers
// there, ErrNotASocket if something else is in its place, or the system's.
func Listen(settings Settings) (*Server, error) {
	if err := removeStale(settings.Socket); err != nil {
		return nil, err
	}
	listener, err := net.Listen("unix", settings.Socket)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := os.Chmod(settings.Socket, 0o600); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	s := &Server{settings: settings, listener: listener, handlers: map[string]Handler{}, open: map[net.Conn]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.running.Go(s.accept)
	return s, nil
}

// removeStale removes a socket that a former router left.
func removeStale(path string) error {
	if conn, err := net.DialTimeout("unix", path, staleSocketTimeout); err == nil {
		conn.Close()
		return fmt.Errorf("control: %w at %s", ErrSocketInUse, path)
	}
	info, err := os.Lstat(path)
	if err != nil { // there is nothing
		return nil
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("control: %s %w", path, ErrNotASocket)
	}
	os.Remove(path)
	return nil
}

// Handle sets who answers a command.
func (s *Server) Handle(command string, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[command] = handler
}

// handler returns who answers a command, or nil.
func (s *Server) handler(command string) Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handlers[command]
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admit(conn) {
			s.running.Go(func() { refuse(conn) })
			continue
		}
		s.running.Go(func() {
			s.serve(conn)
			s.mu.Lock()
			delete(s.open, conn)
			s.mu.Unlock()
			conn.Close()
		})
	}
}

// admit notes a connection as open, unless there are too many or the server is being closed.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxConnections || s.ctx.Err() != nil {
		return false
	}
	s.open[conn] = true
	return true
}

// refuse ends a connection over the limit with the reason. It reads the request first: an operator whose request can't be
// sent would not look for the answer.
func refuse(conn net.Conn) {
	refusedRequests.Add()
	conn.SetDeadline(time.Now().Add(refusalTimeout))
	newLineScanner(conn).Scan()
	if err := writeLine(conn, Refusal{fmt.Sprintf("this router has %d operators' requests under way, and takes no more", maxConnections)}); err != nil {
		slog.Debug("an operator's connection was not refused in time", "err", err)
	}
	conn.Close()
}

// serve answers the request of one connection.
func (s *Server) serve(conn net.Conn) {
	session := &Session{conn: conn, lines: newLineScanner(conn)}
	conn.SetReadDeadline(time.Now().Add(requestTimeout))
	if err := session.ReadLine(&session.Request); err != nil {
		refusedRequests.Add()
		session.Reply(Refusal{"a request that can't be read"})
		return
	}
	conn.SetReadDeadline(time.Time{})
	requests.Add()
	handler := s.handler(session.Command)
	if handler == nil {
		refusedRequests.Add()
		session.Reply(Refusal{fmt.Sprintf("this router does not know %q, or that part is off in its file", session.Command)})
		return
	}
	if err := handler(s.ctx, session); err != nil {
		refusedRequests.Add()
		slog.Debug("an operator's request was refused", "command", session.Command, "name", session.Name, "err", err)
		session.Reply(Refusal{err.Error()})
	}
}

// Close ends the server and the requests under way, and removes the socket.
func (s *Server) Close() {
	s.cancel()
	s.listener.Close()
	s.mu.Lock()
	for conn := range s.open {
		conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
	os.Remove(s.settings.Socket)
}
