// Package discovery holds discovery's list of nodes and the watch that keeps it true.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"cairntiller/internal/routing"
)

// Node is one entry.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Shard                     int
	State                     routing.EndpointState
	Primary                   bool
	StartedAt                 int64 // us in Unix time, 0 for long ago
}

// List is the whole list, or the entries changed since another version.
type EndpointList struct {
	Version   int64
	Complete  bool
	Endpoints []Endpoint
}

// Decode reads one list as discovery gives it; a broken one changes nothing, so it is refused whole.
func DecodeEndpointList(raw []byte) (*EndpointList, error) {
	var wire struct {
		Index     *int64
		Snapshot  bool
		Endpoints []struct {
			Name, Address, Zone, Type, Status, Role string
			Group                                   int
			Since                                   float64 `json:"since_ms"`
		}
	}
	if err := json.Unmarshal(raw, &wire); err != nil {
		return nil, err
	}
	if wire.Index == nil {
		return nil, errors.New("no version")
	}
	l := &EndpointList{Version: *wire.Index, Complete: wire.Snapshot, Endpoints: make([]Endpoint, 0, len(wire.Endpoints))}
	for _, e := range wire.Endpoints {
		n := Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Type, Shard: e.Group,
			Primary: e.Role == "primary", StartedAt: int64(e.Since * 1000)}
		switch e.Status {
		case "active":
		case "leaving":
			n.State = routing.Draining
		case "left":
			n.State = routing.Removed
		default:
			return nil, fmt.Errorf("node %q: unknown status %q", e.Name, e.Status)
		}
		if e.Name == "" || e.Address == "" && n.State != routing.Removed {
			return nil, errors.New("a node without name or address")
		}
		l.Endpoints = append(l.Endpoints, n)
	}
	return l, nil
}
