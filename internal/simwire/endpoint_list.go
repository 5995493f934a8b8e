package simwire

import (
	"bytes"
	"strconv"

	"cairntiller/internal/routing"
)

// maxLists is how many numbered endpoint lists there may be at a time.
const maxLists = 16

// mostListRows bounds the room made for a list before its lines have come.
const mostListRows = 1 << 16

// readEndpointList keeps an endpoint list for later events: its number, how many endpoints it has, then a line each.
func (s *server) readEndpointList() error {
	if len(s.fields) < 3 {
		return s.fault("items", "too few fields")
	}
	number, err := strconv.Atoi(string(s.fields[1]))
	if err != nil || number < 0 || number >= maxLists {
		return s.fault("sheet", "no list number")
	}
	count, err := strconv.Atoi(string(s.fields[2]))
	if err != nil || count < 0 {
		return s.fault("items", "no count")
	}
	rows := make([][]byte, 0, min(count, mostListRows))
	for range count {
		row, err := s.in.ReadBytes('\n')
		if err != nil {
			return s.fault("items", "input ends within a list")
		}
		s.line++
		if !bytes.HasPrefix(row, []byte("m ")) {
			return s.fault("items", "not a list entry")
		}
		rows = append(rows, bytes.TrimRight(row, "\r\n"))
	}
	s.lists[number] = rows
	return nil
}

// The fields of a peers_known event.
const (
	knownKind = 2 // FULL and SAVED lists name all endpoints, INCREMENTAL ones those that changed; FAILED ends the watch
	knownList = 4 // number of the list; 3 is its version, which is not used
)

// endpointList hands a numbered list to the module.
func (i *instance) endpointList(now int64, fields [][]byte, n *fieldReader) error {
	kind := string(fields[knownKind])
	switch kind {
	case "FAILED":
		i.router.EndpointListFailed(now)
		return nil
	case "FULL", "SAVED", "INCREMENTAL":
	default:
		return i.server.fault("kind", "unknown kind of list")
	}
	number := n.int(fields[knownList], "sheet")
	if n.err != nil {
		return nil
	}
	if number < 0 || number >= maxLists {
		return i.server.fault("sheet", "no list number")
	}
	i.router.BeginEndpointList(now, kind != "INCREMENTAL")
	for _, row := range i.server.lists[number] {
		if err := i.endpoint(now, row, n); err != nil || n.err != nil {
			return err
		}
	}
	i.router.EndEndpointList(now)
	return nil
}

// The fields of an endpoint's line.
const (
	endpointNode    = 1
	endpointZone    = 2
	endpointPrimary = 3 // 1 for the primary
	endpointKind    = 4
	endpointShard   = 5
	endpointState   = 6
	endpointStarted = 8 // 7 is a size, which is not used
	endpointFields  = 9
)

// endpoint hands one line of a list to the module.
func (i *instance) endpoint(now int64, row []byte, n *fieldReader) error {
	i.server.split(row)
	fields := i.server.fields
	if len(fields) < endpointFields {
		return i.server.fault("items", "too few fields in a list entry")
	}
	state, known := states[string(fields[endpointState])]
	if !known {
		return i.server.fault("availability", "unknown state")
	}
	primary := n.float(fields[endpointPrimary], "leads")
	shard := n.int(fields[endpointShard], "cluster")
	started := n.time(fields[endpointStarted], "readyAt")
	if n.err != nil {
		return nil
	}
	i.router.UpdateEndpoint(now, routing.Endpoint{
		Name:        string(fields[endpointNode]),
		Zone:        text(fields[endpointZone]),
		MachineType: text(fields[endpointKind]),
		Shard:       int(shard),
		State:       state,
		Primary:     primary >= 0.5,
		StartedAt:   started,
	})
	return nil
}

// states are an endpoint's states by their name on the wire.
var states = map[string]routing.EndpointState{"up": routing.Up, "draining": routing.Draining, "removed": routing.Removed}
