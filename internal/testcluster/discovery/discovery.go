// Package discovery is a stand-in for discovery: the list of nodes over HTTP, whole or as a watch that carries each
// change, late or not at all where a test says so.
package discovery

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one node of the list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // active, leaving or left
	Role    string  `json:"role,omitempty"`
	Weight  float64 `json:"weight"`
	Since   float64 `json:"since_ms"`
}

// Server is a running discovery.
type Server struct {
	mu      sync.Mutex
	index   int64
	entries map[string]Entry
	changed map[string]int64 // version of each entry's last change
	order   []string
	silent  bool
	news    chan struct{} // closed at each change
	http    *http.Server
	address string
}

// Start starts one on a free port of loopback.
func Start() (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{entries: map[string]Entry{}, changed: map[string]int64{}, news: make(chan struct{}),
		address: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", s.targets)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go s.http.Serve(ln)
	return s, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.address }

// Close ends it.
func (s *Server) Close() { s.http.Close() }

// Set tells of a node, anew or changed.
func (s *Server) Set(all ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	for _, e := range all {
		if _, known := s.entries[e.Name]; !known {
			s.order = append(s.order, e.Name)
		}
		s.entries[e.Name], s.changed[e.Name] = e, s.index
	}
	s.tell()
}

// Silent keeps it from telling anything, or lets it go on.
func (s *Server) Silent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	s.tell()
}

func (s *Server) tell() {
	close(s.news)
	s.news = make(chan struct{})
}

// Entry is a node as it stands.
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

// since is what changed after a version; the whole list for one that was never told.
func (s *Server) since(version int64, all bool) (l list, news chan struct{}, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := all || version > s.index
	l = list{Index: s.index, Snapshot: whole, Endpoints: []Entry{}}
	for _, name := range s.order {
		if e := s.entries[name]; (whole && e.Status != "left") || !whole && s.changed[name] > version {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l, s.news, s.silent
}

func (s *Server) targets(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	follow := r.URL.Query().Get("follow") == "1"
	if !follow {
		l, _, _ := s.since(0, true)
		json.NewEncoder(w).Encode(l)
		return
	}
	all, out := err != nil, json.NewEncoder(w)
	for first := true; ; first = false {
		l, news, silent := s.since(version, all)
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
