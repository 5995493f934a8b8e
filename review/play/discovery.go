//go:build review

package play

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of the list of nodes.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // active, leaving, left
	Role    string  `json:"role,omitempty"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// List is a list of nodes, whole or as changes.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Discovery is the agent of discovery on a router's machine.
type Discovery struct {
	Address string

	run     *Run
	mu      sync.Mutex
	server  *http.Server
	index   int64
	nodes   []Endpoint
	since   map[string]int64 // version in which an entry last changed
	delay   time.Duration    // before each answer
	changed chan struct{}
}

// StartDiscovery starts an agent with a list; index is the list's version.
func (r *Run) StartDiscovery(index int64, nodes []Endpoint) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	d := &Discovery{Address: ln.Addr().String(), run: r, index: index, nodes: append([]Endpoint{}, nodes...), since: map[string]int64{},
		changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.serve)
	d.server = &http.Server{Handler: mux}
	go d.server.Serve(ln)
	return d
}

// Close ends the agent and its watches.
func (d *Discovery) Close() { d.server.Close() }

// Known returns the whole list.
func (d *Discovery) Known() *List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(-1)
}

// SetDelay makes the agent answer each request that late.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// SetStatus changes the status of a node in a new version of the list.
func (d *Discovery) SetStatus(name, status string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for i := range d.nodes {
		if d.nodes[i].Name == name {
			d.nodes[i].Status = status
		}
	}
	d.since[name] = d.index
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the entries that changed after a version, or the whole list if the version is unknown. The caller holds
// the lock.
func (d *Discovery) list(after int64) *List {
	l := &List{Index: d.index, Snapshot: after < 0 || after > d.index, Endpoints: []Endpoint{}}
	for _, n := range d.nodes {
		if l.Snapshot && n.Status != "left" || !l.Snapshot && d.since[n.Name] > after {
			l.Endpoints = append(l.Endpoints, n)
		}
	}
	return l
}

func (d *Discovery) serve(w http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	d.run.Logf("discovery is asked %s", request.URL)
	select {
	case <-time.After(delay):
	case <-request.Context().Done():
		return
	}
	follow := request.URL.Query().Get("follow") == "1"
	after, err := strconv.ParseInt(request.URL.Query().Get("since"), 10, 64)
	if err != nil || !follow {
		after = -1
	}
	encoder := json.NewEncoder(w)
	for first := true; ; first = false {
		d.mu.Lock()
		list, changed := d.list(after), d.changed
		d.mu.Unlock()
		if first || len(list.Endpoints) > 0 {
			d.run.Logf("discovery tells version %d, whole %v, %d entries", list.Index, list.Snapshot, len(list.Endpoints))
			if encoder.Encode(list) != nil {
				return
			}
			after = list.Index
		} else {
			w.Write([]byte("\n"))
		}
		if !follow {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
		}
	}
}
