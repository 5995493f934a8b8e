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
	// maxConnections limits the open connections, which are those of operators, not of clients. Each cairntiller lease
	// hold keeps one open from its request to the end of its command. A connection over the limit is refused.
	maxConnections = 32
	// refusalTimeout is how long a connection over the limit may take to send its request and read the refusal.
	refusalTimeout = 250 * time.Millisecond
	// requestTimeout is how long a connection may take to send its request.
	requestTimeout = 2 * time.Second
	// staleSocketTimeout bounds the connection attempt that finds out whether a router listens on an existing socket.
	staleSocketTimeout = time.Second
	// acceptRetryDelay is the pause after a failed accept, for example when no file descriptor is free.
	acceptRetryDelay = 50 * time.Millisecond
)

var (
	requests        = metrics.New("operators' requests")
	refusedRequests = metrics.New("operators' requests refused")
)

// Handler answers a request. Its error is sent to the operator as a Refusal in the last line.
type Handler func(ctx context.Context, s *Session) error

// Session is the router's side of an open request.
type Session struct {
	Request
	conn  net.Conn
	lines *bufio.Scanner
}

// Reply writes one line of the answer.
func (s *Session) Reply(v any) error { return writeLine(s.conn, v) }

// ReadLine waits for another line from the operator. The error is net.ErrClosed if there is none.
func (s *Session) ReadLine(v any) error {
	if !s.lines.Scan() {
		return errors.Join(s.lines.Err(), net.ErrClosed)
	}
	return json.Unmarshal(s.lines.Bytes(), v)
}

// Server serves operators' requests. Its methods may be called from any goroutine.
type Server struct {
	settings Settings
	listener net.Listener
	ctx      context.Context // canceled by Close
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu          sync.Mutex
	handlers    map[string]Handler // by command
	connections map[net.Conn]bool
}

// Listen opens the socket and starts to accept connections. A stale socket of an earlier process is replaced. The error
// is ErrSocketInUse if a router is listening there, ErrNotASocket if the path is something else, or a system error.
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
	s := &Server{settings: settings, listener: listener, handlers: map[string]Handler{}, connections: map[net.Conn]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.running.Go(s.accept)
	return s, nil
}

// removeStale removes a socket that an earlier process left behind.
func removeStale(path string) error {
	if conn, err := net.DialTimeout("unix", path, staleSocketTimeout); err == nil {
		conn.Close()
		return fmt.Errorf("control: %w at %s", ErrSocketInUse, path)
	}
	info, err := os.Lstat(path)
	if err != nil { // nothing to remove
		return nil
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("control: %s %w", path, ErrNotASocket)
	}
	os.Remove(path)
	return nil
}

// Handle registers the handler for a command.
func (s *Server) Handle(command string, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[command] = handler
}

// handler returns the handler for a command, or nil.
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
		if !s.trackConnection(conn) {
			s.running.Go(func() { refuseConnection(conn) })
			continue
		}
		s.running.Go(func() {
			s.serve(conn)
			s.mu.Lock()
			delete(s.connections, conn)
			s.mu.Unlock()
			conn.Close()
		})
	}
}

// trackConnection adds a connection to the open ones. It returns false, without adding it, if there are too many or the
// server is being closed.
func (s *Server) trackConnection(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) >= maxConnections || s.ctx.Err() != nil {
		return false
	}
	s.connections[conn] = true
	return true
}

// refuseConnection sends the reason to a connection over the limit and closes it. It reads the request first: a client
// that fails to send its request doesn't read the answer.
func refuseConnection(conn net.Conn) {
	refusedRequests.Add()
	conn.SetDeadline(time.Now().Add(refusalTimeout))
	newLineScanner(conn).Scan()
	if err := writeLine(conn, Refusal{fmt.Sprintf("this router has %d operators' requests under way, and takes no more", maxConnections)}); err != nil {
		slog.Debug("sending the refusal of an operator's connection failed", "err", err)
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

// Close stops the server, ends the open requests and removes the socket.
func (s *Server) Close() {
	s.cancel()
	s.listener.Close()
	s.mu.Lock()
	for conn := range s.connections {
		conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
	os.Remove(s.settings.Socket)
}
