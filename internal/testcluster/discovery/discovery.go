// Package discovery simulates the service discovery. It serves the endpoint list over HTTP, either as a complete list or as a
// watch that streams changes. A test can suppress the changes.
package discovery

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one node in the endpoint list, as encoded in JSON.
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
	version int64 // version of the list, incremented by each update
	entries map[string]*versionedEntry
	order   []string      // names in the order in which they were added
	silent  bool          // watches send no list and no changes
	changed chan struct{} // closed and replaced at each change
}

// versionedEntry is an entry with the version of the list in which it last changed.
type versionedEntry struct {
	entry            Entry
	changedInVersion int64
}

// Start starts a server on a free port of the loopback interface.
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

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.address }

// Close stops the server and ends open watches.
func (s *Server) Close() { s.http.Close() }

// Update adds or replaces entries of the list, all in one new version.
func (s *Server) Update(entries ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, entry := range entries {
		if s.entries[entry.Name] == nil {
			s.order = append(s.order, entry.Name)
		}
		s.entries[entry.Name] = &versionedEntry{entry: entry, changedInVersion: s.version}
	}
	s.notify()
}

// SetSilent suppresses the lists and changes that watches send, or resumes them. Keep-alive lines are sent in either case.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notify()
}

// notify wakes all watches. The caller holds the lock.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Entry returns the current entry of a node, an empty one if there is none.
func (s *Server) Entry(name string) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.entries[name]; existing != nil {
		return existing.entry
	}
	return Entry{}
}

// endpointList is the body of a response: a complete list (a snapshot) or the changed entries.
type endpointList struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// changesSince returns the entries that changed after a version, or the complete list if complete is set or the version is newer
// than the list. The channel changed is closed at the next change.
func (s *Server) changesSince(version int64, complete bool) (answer endpointList, changed chan struct{}, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete = complete || version > s.version
	answer = endpointList{Index: s.version, Snapshot: complete, Endpoints: []Entry{}}
	for _, name := range s.order {
		existing := s.entries[name]
		if complete && existing.entry.Status != "left" || !complete && existing.changedInVersion > version {
			answer.Endpoints = append(answer.Endpoints, existing.entry)
		}
	}
	return answer, s.changed, s.silent
}

// keepAliveInterval is the interval at which a watch sends an empty line while nothing changes.
const keepAliveInterval = 2 * time.Second

// serveTargets responds with the complete list, or starts a watch if the request has follow=1.
func (s *Server) serveTargets(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if r.URL.Query().Get("follow") == "1" {
		s.watch(w, r, version, err != nil)
		return
	}
	snapshot, _, _ := s.changesSince(0, true)
	json.NewEncoder(w).Encode(snapshot)
}

// watch sends the changes after a version, or the complete list first if complete is set, and then streams further changes.
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
