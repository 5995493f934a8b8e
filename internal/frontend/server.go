package frontend

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cairntiller/internal/eventlog"
	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
)

// acceptRetryInterval is the pause after a connection could not be accepted.
const acceptRetryInterval = 5 * time.Millisecond

var acceptLog = eventlog.New("accepting a client connection failed")

// Server accepts client connections. Its methods may be called from any goroutine.
type Server struct {
	now           func() int64 // the router's clock, us
	requests      inflight.RequestHandler
	groupNumbers  map[string]int // command group numbers by name
	tenantNumbers map[string]int // tenant numbers by name
	limits        limits

	input *inputScheduler

	ready    atomic.Bool
	draining atomic.Bool // the router is shutting down

	inFlightBytes  atomic.Int64 // sum over all sessions
	commands       atomic.Int64 // without an answer, sum over all sessions
	partialBytes   atomic.Int64 // of incomplete messages on all connections
	releasingBytes atomic.Int64 // of partialBytes, those of sessions that have been closed for them

	mu         sync.Mutex
	sessions   map[uint32]*session // by number
	lastNumber uint32
}

// Config configures a server.
type Config struct {
	GroupNumbers, TenantNumbers map[string]int // numbers in the routing module, by the names used in commands
	MaxConnections              int            // maximum number of open connections
	Cores                       int            // input of that many connections is handled at once, at least one
	MemoryLimit                 int64          // bytes that the Go runtime may use; fractions of it limit the data in flight
}

// New returns a server that uses the router's clock, us, and passes its requests to the given handler.
func New(now func() int64, requests inflight.RequestHandler, config Config) *Server {
	return &Server{
		now:           now,
		requests:      requests,
		groupNumbers:  config.GroupNumbers,
		tenantNumbers: config.TenantNumbers,
		input:         &inputScheduler{now: now, free: max(1, config.Cores)},
		limits:        newLimits(config.MaxConnections, config.Cores, config.MemoryLimit),
		sessions:      map[uint32]*session{},
	}
}

// SetReady starts accepting commands. Before, they are rejected because the router is starting up.
func (s *Server) SetReady() { s.ready.Store(true) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln *net.TCPListener) error {
	ended := make(chan struct{})
	defer close(ended)
	go s.sweepUntil(ended)
	for {
		conn, err := ln.AcceptTCP()
		switch {
		case err == nil:
			s.accept(conn)
		case errors.Is(err, net.ErrClosed):
			return err
		default: // no descriptor is left, or the client has gone already
			failedAccepts.Add()
			if acceptLog.Allow() {
				acceptLog.Info("err", err)
			}
			time.Sleep(acceptRetryInterval)
		}
	}
}

// sweepUntil calls sweep at intervals until ended is closed.
func (s *Server) sweepUntil(ended <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sweep()
		case <-ended:
			return
		}
	}
}

// accept handles a new connection. If the session limit is reached, it evicts another session; if none may be evicted,
// the new connection is rejected.
func (s *Server) accept(conn *net.TCPConn) {
	acceptedConnections.Add()
	c := newSession(s, conn)
	s.mu.Lock()
	s.lastNumber++
	c.number = s.lastNumber
	choice := s.chooseEviction()
	s.sessions[c.number] = c
	mostSessions.RaiseTo(int64(len(s.sessions)))
	s.mu.Unlock()
	if choice.closeLingering != nil {
		choice.closeLingering.stream.Close()
	}
	if choice.evict != nil {
		evictedConnections.Add()
		choice.evict.evict()
	}
	c.start()
	if choice.rejectNew {
		connectionsOverLimit.Add()
		c.sendFatalError(endedNoPlace, pgwire.CodeRejected, "too many connections")
	}
}

// allSessions returns all sessions in no particular order.
func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, c := range s.sessions {
		all = append(all, c)
	}
	return all
}

// removeSession removes a session that has ended from the list.
func (s *Server) removeSession(number uint32) {
	s.mu.Lock()
	delete(s.sessions, number)
	s.mu.Unlock()
}
