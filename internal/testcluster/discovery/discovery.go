// Package discovery simulates the service discovery: the endpoint list over HTTP, complete or as a watch that sends each
// change. A test can make it fall silent.
package discovery

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one node of the endpoint list, in the form of the wire.
type Entry struct {
	Name            string  `json:"name"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	NodeType        string  `json:"type"`
	Shard           int     `json:"group"`
	Status          string  `json:"status"` // active, leaving or left
	Role            string  `json:"role,omitempty"`
	Weight          float64 `json:"weight"`
	StartedAtMillis float64 `json:"since_ms"`
}

// Server is a running service discovery.
type Server struct {
	mu        sync.Mutex
	version   int64
	entries   map[string]Entry
	changedIn map[string]int64 // version of each entry's last change
	order     []string
	silent    bool
	updated   chan struct{} // closed at each change
	http      *http.Server
	address   string
}

// Start starts a server on a free port of loopback.
func Start() (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{entries: map[string]Entry{}, changedIn: map[string]int64{}, updated: make(chan struct{}),
		address: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", s.serveTargets)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go s.http.Serve(ln)
	return s, nil
}

// Address returns the address at which it listens.
func (s *Server) Address() string { return s.address }

// Close stops the server and its watches.
func (s *Server) Close() { s.http.Close() }

// Update adds nodes to the list or changes them, as one new version.
func (s *Server) Update(all ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, e := range all {
		if _, known := s.entries[e.Name]; !known {
			s.order = append(s.order, e.Name)
		}
		s.entries[e.Name], s.changedIn[e.Name] = e, s.version
	}
	s.notify()
}

// SetSilent keeps open watches without any message, or lets them continue.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	s.notify()
}

func (s *Server) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// Entry returns the present entry of a node.
func (s *Server) Entry(name string) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[name]
}

type list struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// changesSince returns what has changed after a version; the complete list where all is set or the version is unknown.
func (s *Server) changesSince(version int64, all bool) (l list, news chan struct{}, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := all || version > s.version
	l = list{Index: s.version, Snapshot: whole, Endpoints: []Entry{}}
	for _, name := range s.order {
		if e := s.entries[name]; (whole && e.Status != "left") || !whole && s.changedIn[name] > version {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l, s.updated, s.silent
}

func (s *Server) serveTargets(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	follow := r.URL.Query().Get("follow") == "1"
	if !follow {
		l, _, _ := s.changesSince(0, true)
		json.NewEncoder(w).Encode(l)
		return
	}
	all, out := err != nil, json.NewEncoder(w)
	for first := true; ; first = false {
		l, news, silent := s.changesSince(version, all)
		if !silent && (first || len(l.Endpoints) > 0) {
			if out.Encode(l) != nil {
				return
			}
			version, all = l.Index, false
			w.(http.Flusher).Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-news:
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}
