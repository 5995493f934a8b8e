//go:build review

package standins

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a node of the list of discovery.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // active, leaving or left
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
	Role    string  `json:"role,omitempty"`
}

// List is a list as discovery sends it.
type List struct {
	Index    int64   `json:"index"`
	Snapshot bool    `json:"snapshot"`
	Entries  []Entry `json:"endpoints"`
}

// emptyLine is how often a watch sends an empty line.
const emptyLine = 2 * time.Second

// Discovery is a stand-in for discovery.
type Discovery struct {
	Address string

	mu      sync.Mutex
	index   int64
	changed map[string]int64 // by node, the index of its last change
	entries []Entry
	next    chan struct{} // closed with each change
}

// StartDiscovery starts discovery at a free address of the loopback interface.
func StartDiscovery(entries ...Entry) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), changed: map[string]int64{}, next: make(chan struct{})}
	d.Change(entries...)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.serve)
	go http.Serve(listener, mux)
	return d, nil
}

// Change changes entries of the list or adds them, all in one version.
func (d *Discovery) Change(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, entry := range entries {
		if d.changed[entry.Name] == 0 {
			d.entries = append(d.entries, entry)
		}
		d.changed[entry.Name] = d.index
		for i := range d.entries {
			if d.entries[i].Name == entry.Name {
				d.entries[i] = entry
			}
		}
	}
	close(d.next)
	d.next = make(chan struct{})
}

// List returns the whole list. A node that has left is only among changes.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Index: d.index, Snapshot: true}
	for _, entry := range d.entries {
		if entry.Status != "left" {
			list.Entries = append(list.Entries, entry)
		}
	}
	return list
}

// since returns what has changed after a version, and a channel that is closed with the next change.
func (d *Discovery) since(index int64) (List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Index: d.index}
	for _, entry := range d.entries {
		if d.changed[entry.Name] > index {
			list.Entries = append(list.Entries, entry)
		}
	}
	return list, d.next
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("follow") == "" {
		json.NewEncoder(w).Encode(d.List())
		return
	}
	index, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since", http.StatusBadRequest)
		return
	}
	flusher := http.NewResponseController(w)
	flusher.Flush()
	for {
		list, next := d.since(index)
		if len(list.Entries) > 0 {
			if json.NewEncoder(w).Encode(list) != nil || flusher.Flush() != nil {
				return
			}
			index = list.Index
		}
		select {
		case <-next:
		case <-r.Context().Done():
			return
		case <-time.After(emptyLine):
			if _, err := w.Write([]byte("\n")); err != nil || flusher.Flush() != nil {
				return
			}
		}
	}
}
