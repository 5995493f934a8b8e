package frontend

import "sync/atomic"

// usage counts what a session has cost. It is read by other goroutines.
type usage struct {
	bytes    atomic.Int64 // received
	messages atomic.Int64 // received, complete ones
	commands atomic.Int64 // admitted
	handling atomic.Int64 // us spent on handling input
}

// cost returns what all input of the session has cost.
func (u *usage) cost() int64 { return messageCost*u.messages.Load() + u.bytes.Load()/bytesPerCost }

// MemoryOwners returns, as attributes for a log record, what client connections hold in memory, and which of them holds
// the most.
func (s *Server) MemoryOwners() []any {
	all := s.allSessions()
	attributes := []any{
		"client_connections", len(all),
		"bytes_in_flight", s.inFlightBytes.Load(),
		"bytes_of_incomplete_messages", s.partialBytes.Load(),
	}
	var largest *session
	for _, c := range all {
		if largest == nil || c.inFlightBytes.Load() > largest.inFlightBytes.Load() {
			largest = c
		}
	}
	if largest == nil {
		return attributes
	}
	return append(attributes,
		"largest_session", largest.number,
		"largest_peer", largest.stream.PeerAddress(),
		"largest_bytes_in_flight", largest.inFlightBytes.Load(),
		"largest_messages", largest.usage.messages.Load(),
		"largest_handling_us", largest.usage.handling.Load(),
	)
}
