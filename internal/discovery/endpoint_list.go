package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"cairntiller/internal/routing"
)

// Endpoint is one entry of a list: a node, and where it listens.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Shard                     int
	State                     routing.EndpointState
	Primary                   bool
	StartedAt                 int64 // us in Unix time, 0 for long ago
}

// EndpointList is the complete list, or the endpoints that have changed since another version.
type EndpointList struct {
	Version   int64
	Complete  bool
	Endpoints []Endpoint
}

// wireList is a list as discovery writes it.
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

// states are an endpoint's states by their name on the wire.
var states = map[string]routing.EndpointState{
	"active":  routing.Up,
	"leaving": routing.Draining,
	"left":    routing.Removed,
}

// Why a list is refused, besides JSON that can't be read.
var (
	ErrNoVersion       = errors.New("no version")
	ErrUnnamedEndpoint = errors.New("a node without name or address")
)

// UnknownStatusError is the error of a list with an endpoint whose state has no meaning here.
type UnknownStatusError struct{ Node, Status string }

// Error implements error.
func (e *UnknownStatusError) Error() string {
	return fmt.Sprintf("node %q: unknown status %q", e.Node, e.Status)
}

// DecodeEndpointList reads one list as discovery writes it. One that is broken anywhere is refused as a whole, and
// changes nothing.
func DecodeEndpointList(raw []byte) (*EndpointList, error) {
	var wire wireList
	if err := json.Unmarshal(raw, &wire); err != nil {
		return nil, err
	}
	if wire.Index == nil {
		return nil, ErrNoVersion
	}
	list := &EndpointList{Version: *wire.Index, Complete: wire.Snapshot, Endpoints: make([]Endpoint, 0, len(wire.Endpoints))}
	for _, one := range wire.Endpoints {
		endpoint, err := one.decode()
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
		return Endpoint{}, ErrUnnamedEndpoint
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
