package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"cairntiller/internal/routing"
)

// Endpoint is an entry of an endpoint list: a node and the address at which it listens.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Shard                     int
	State                     routing.EndpointState
	Primary                   bool
	StartedAt                 int64 // us in Unix time; 0 for long ago
}

// EndpointList is the complete list of endpoints, or the endpoints that have changed since an earlier version.
type EndpointList struct {
	Version   int64
	Complete  bool
	Endpoints []Endpoint
}

// wireList is the JSON form of an endpoint list.
type wireList struct {
	Index     *int64
	Snapshot  bool
	Endpoints []wireEndpoint
}

type wireEndpoint struct {
	Name, Address, Zone, Type, Status, Role string
	Group                                   int
	Since                                   float64 `json:"since_ms"`
}

// states maps the JSON form of an endpoint's status to its state.
var states = map[string]routing.EndpointState{
	"active":  routing.Up,
	"leaving": routing.Draining,
	"left":    routing.Removed,
}

// Errors for invalid lists, besides those of package json.
var (
	ErrNoVersion          = errors.New("endpoint list without a version")
	ErrIncompleteEndpoint = errors.New("endpoint without a name or address")
)

// UnknownStatusError is returned for a list with an endpoint whose status is unknown.
type UnknownStatusError struct{ Node, Status string }

// Error implements error.
func (e *UnknownStatusError) Error() string {
	return fmt.Sprintf("node %q: unknown status %q", e.Node, e.Status)
}

// DecodeEndpointList decodes an endpoint list from JSON. A list with any invalid entry is rejected as a whole.
func DecodeEndpointList(raw []byte) (*EndpointList, error) {
	var wire wireList
	if err := json.Unmarshal(raw, &wire); err != nil {
		return nil, err
	}
	if wire.Index == nil {
		return nil, ErrNoVersion
	}
	list := &EndpointList{Version: *wire.Index, Complete: wire.Snapshot, Endpoints: make([]Endpoint, 0, len(wire.Endpoints))}
	for _, entry := range wire.Endpoints {
		endpoint, err := entry.decode()
		if err != nil {
			return nil, err
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

func (w wireEndpoint) decode() (Endpoint, error) {
	state, known := states[w.Status]
	if !known {
		return Endpoint{}, &UnknownStatusError{w.Name, w.Status}
	}
	if w.Name == "" || w.Address == "" && state != routing.Removed {
		return Endpoint{}, ErrIncompleteEndpoint
	}
	return Endpoint{
		Name:      w.Name,
		Address:   w.Address,
		Zone:      w.Zone,
		Kind:      w.Type,
		Shard:     w.Group,
		State:     state,
		Primary:   w.Role == "primary",
		StartedAt: int64(w.Since * 1000),
	}, nil
}
