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
	http    *http.Server
	address string

	mu      sync.Mutex
	version int64 // of the list
	entries map[string]*versionedEntry
	order   []string // names, as they were added
	silent  bool
	changed chan struct{} // closed at each change
}

// versionedEntry is an entry, and the version of the list in which it last changed.
type versionedEntry struct {
	entry     Entry
	changedIn int64
}

// Start starts a server on a free port of loopback.
func Start() (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{entries: map[string]*versionedEntry{}, changed: make(chan struct{}), address: ln.Addr().String()}
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
func (s *Server) Update(entries ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, entry := range entries {
		if s.entries[entry.Name] == nil {
			s.order = append(s.order, entry.Name)
		}
		s.entries[entry.Name] = &versionedEntry{entry: entry, changedIn: s.version}
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

// notify wakes all watches.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Entry returns the present entry of a node, an empty one if there is none.
func (s *Server) Entry(name string) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.entries[name]; known != nil {
		return known.entry
	}
	return Entry{}
}

// list is an answer: the complete list, or what has changed.
type list struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// changesSince returns what has changed after a version; the complete list if complete is set or the version is unknown. changed
// is closed at the next change.
func (s *Server) changesSince(version int64, complete bool) (answer list, changed chan struct{}, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete = complete || version > s.version
	answer = list{Index: s.version, Snapshot: complete, Endpoints: []Entry{}}
	for _, name := range s.order {
		known := s.entries[name]
		if complete && known.entry.Status != "left" || !complete && known.changedIn > version {
			answer.Endpoints = append(answer.Endpoints, known.entry)
		}
	}
	return answer, s.changed, s.silent
}

// keepAliveInterval is how often a watch sends an empty line while nothing changes.
const keepAliveInterval = 2 * time.Second

// serveTargets answers with the complete list, or with a watch if the request asks for one.
func (s *Server) serveTargets(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if r.URL.Query().Get("follow") == "1" {
		s.watch(w, r, version, err != nil)
		return
	}
	complete, _, _ := s.changesSince(0, true)
	json.NewEncoder(w).Encode(complete)
}

// watch sends what has changed after a version, the complete list first if complete is set, and then each change.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, version int64, complete bool) {
	encoder := json.NewEncoder(w)
	for first := true; ; first = false {
		answer, changed, silent := s.changesSince(version, complete)
		if !silent && (first || len(answer.Endpoints) > 0) {
			if encoder.Encode(answer) != nil {
				return
			}
			version = answer.Index
			complete = false
			w.(http.Flusher).Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(keepAliveInterval):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}
