package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
)

// Server accepts clients' connections. Its methods may be called from any goroutine.
type Server struct {
	now           func() int64 // the router's clock, us
	intake        inflight.Intake
	groupNumbers  map[string]int // command groups by name
	tenantNumbers map[string]int // tenants by name
	limits        limits

	ready    atomic.Bool
	draining atomic.Bool // the router is about to end

	inFlightBytes atomic.Int64 // of commands and answers on all connections
	partialBytes  atomic.Int64 // of messages that have begun to arrive, on all connections

	mu         sync.Mutex
	sessions   map[uint32]*session // by number
	lastNumber uint32
}

// Config is what a server is made with.
type Config struct {
	GroupNumbers, TenantNumbers map[string]int // the routing module's numbers, by the names that commands give
	MaxConnections              int            // connections held at a time
	MemoryLimit                 int64          // of the process, bytes: a part of it may be used for what is in flight
}

// New makes a server on the router's clock, us, that hands its requests to an intake.
func New(now func() int64, intake inflight.Intake, config Config) *Server {
	return &Server{
		now:           now,
		intake:        intake,
		groupNumbers:  config.GroupNumbers,
		tenantNumbers: config.TenantNumbers,
		limits:        newLimits(config.MaxConnections, config.MemoryLimit),
		sessions:      map[uint32]*session{},
	}
}

// SetReady lets commands be taken from now on. Before, each is rejected as the router is starting up.
func (s *Server) SetReady() { s.ready.Store(true) }

// Serve accepts connections; it returns only when that fails.
func (s *Server) Serve(ln net.Listener) error {
	accept := func(c netpoll.Connection) context.Context {
		s.accept(c)
		return context.Background()
	}
	ignoreRequest := func(context.Context, netpoll.Connection) error { return nil } // sessions read for themselves
	loop, err := netpoll.NewEventLoop(ignoreRequest, netpoll.WithOnPrepare(accept))
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go s.sweepUntil(ended)
	return loop.Serve(ln)
}

// sweepUntil sweeps at intervals until the server has ended.
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

// accept takes a new connection. Where all places are taken it closes another session for it; where none may be closed
// the newcomer is rejected.
func (s *Server) accept(nc netpoll.Connection) {
	acceptedConnections.Add()
	newcomer := newSession(s, nc)
	s.mu.Lock()
	s.lastNumber++
	newcomer.number = s.lastNumber
	room := s.findRoom()
	s.sessions[newcomer.number] = newcomer
	s.mu.Unlock()
	if room.closeEnded != nil {
		room.closeEnded.stream.Close()
	}
	if room.evict != nil {
		evictedConnections.Add()
		room.evict.evict()
	}
	newcomer.start()
	if room.none {
		connectionsOverLimit.Add()
		newcomer.sendFatalError(pgwire.CodeRejected, "too many connections")
	}
}

// allSessions lists the sessions.
func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, c := range s.sessions {
		all = append(all, c)
	}
	return all
}

// forget takes a session that has ended off the list.
func (s *Server) forget(number uint32) {
	s.mu.Lock()
	delete(s.sessions, number)
	s.mu.Unlock()
}
