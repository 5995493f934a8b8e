package simwire

import (
	"bytes"
	"strconv"

	"cairntiller/internal/routing"
)

// maxLists is the maximum number of stored endpoint lists.
const maxLists = 16

// maxPreallocatedRows limits the memory allocated for a list before its lines are read.
const maxPreallocatedRows = 1 << 16

// readEndpointList stores an endpoint list for later events. Its fields are the list's number and the number of
// endpoints; one line for each endpoint follows.
func (s *server) readEndpointList() error {
	if len(s.fields) < 3 {
		return s.inputError("items", "too few fields")
	}
	number, err := strconv.Atoi(string(s.fields[1]))
	if err != nil || number < 0 || number >= maxLists {
		return s.inputError("sheet", "not a valid list number")
	}
	count, err := strconv.Atoi(string(s.fields[2]))
	if err != nil || count < 0 {
		return s.inputError("items", "not a valid count")
	}
	rows := make([][]byte, 0, min(count, maxPreallocatedRows))
	for range count {
		row, err := s.in.ReadBytes('\n')
		if err != nil {
			return s.inputError("items", "input ends within a list")
		}
		s.line++
		if !bytes.HasPrefix(row, []byte("m ")) {
			return s.inputError("items", "not a list entry")
		}
		rows = append(rows, bytes.TrimRight(row, "\r\n"))
	}
	s.lists[number] = rows
	return nil
}

// Fields of a peers_known event.
const (
	peersKnownKind = 2 // FULL and SAVED lists name all endpoints, INCREMENTAL the changed ones; FAILED ends the watch
	peersKnownList = 4 // number of the list; field 3 is its version, which is not used
)

// endpointList passes a stored list to the routing module.
func (i *instance) endpointList(now int64, fields [][]byte, r *fieldReader) error {
	kind := string(fields[peersKnownKind])
	switch kind {
	case "FAILED":
		i.router.EndpointListFailed(now)
		return nil
	case "FULL", "SAVED", "INCREMENTAL":
	default:
		return i.server.inputError("kind", "unknown list kind")
	}
	number := r.int(fields[peersKnownList], "sheet")
	if r.err != nil {
		return nil
	}
	if number < 0 || number >= maxLists {
		return i.server.inputError("sheet", "not a valid list number")
	}
	i.router.BeginEndpointList(now, kind != "INCREMENTAL")
	for _, row := range i.server.lists[number] {
		if err := i.endpoint(now, row, r); err != nil || r.err != nil {
			return err
		}
	}
	i.router.EndEndpointList(now)
	return nil
}

// Fields of an endpoint's line.
const (
	endpointNode    = 1
	endpointZone    = 2
	endpointPrimary = 3 // 1 for the primary
	endpointKind    = 4
	endpointShard   = 5
	endpointState   = 6
	endpointStarted = 8 // field 7 is a size, which is not used
	endpointFields  = 9
)

// endpoint passes one line of a list to the routing module.
func (i *instance) endpoint(now int64, row []byte, r *fieldReader) error {
	i.server.split(row)
	fields := i.server.fields
	if len(fields) < endpointFields {
		return i.server.inputError("items", "too few fields in a list entry")
	}
	state, known := states[string(fields[endpointState])]
	if !known {
		return i.server.inputError("availability", "unknown state")
	}
	primary := r.float(fields[endpointPrimary], "leads")
	shard := r.int(fields[endpointShard], "cluster")
	started := r.time(fields[endpointStarted], "readyAt")
	if r.err != nil {
		return nil
	}
	i.router.UpdateEndpoint(now, routing.Endpoint{
		Name:        string(fields[endpointNode]),
		Zone:        optionalText(fields[endpointZone]),
		MachineType: optionalText(fields[endpointKind]),
		Shard:       int(shard),
		State:       state,
		Primary:     primary >= 0.5,
		StartedAt:   started,
	})
	return nil
}

// states maps the names in the protocol to endpoint states.
var states = map[string]routing.EndpointState{"up": routing.Up, "draining": routing.Draining, "removed": routing.Removed}
