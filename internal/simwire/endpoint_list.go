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

// endpointList: kind, version, number of the list. FULL and SAVED lists name all endpoints; INCREMENTAL ones those that
// changed; FAILED reports that the list is no longer followed.
func (i *instance) endpointList(now int64, fields [][]byte, n *fieldReader) error {
	kind := string(fields[2])
	switch kind {
	case "FAILED":
		i.router.EndpointListFailed(now)
		return nil
	case "FULL", "SAVED", "INCREMENTAL":
	default:
		return i.server.fault("kind", "unknown kind of list")
	}
	number := n.int(fields[4], "sheet")
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

// endpoint: node, zone, whether it is the primary, kind, shard, state, a size that is not used, time of its start.
func (i *instance) endpoint(now int64, row []byte, n *fieldReader) error {
	i.server.split(row)
	fields := i.server.fields
	if len(fields) < 9 {
		return i.server.fault("items", "too few fields in a list entry")
	}
	state, known := states[string(fields[6])]
	if !known {
		return i.server.fault("availability", "unknown state")
	}
	primary := n.float(fields[3], "leads")
	shard := n.int(fields[5], "cluster")
	started := n.time(fields[8], "readyAt")
	if n.err != nil {
		return nil
	}
	i.router.UpdateEndpoint(now, routing.Endpoint{
		Name:        string(fields[1]),
		Zone:        text(fields[2]),
		MachineKind: text(fields[4]),
		Shard:       int(shard),
		State:       state,
		Primary:     primary >= 0.5,
		StartedAt:   started,
	})
	return nil
}

// states are an endpoint's states by their name on the wire.
var states = map[string]routing.EndpointState{"up": routing.Up, "draining": routing.Draining, "removed": routing.Removed}
