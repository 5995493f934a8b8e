package membership

import "cairntiller/internal/assignment"

// EncodedSize returns the number of bytes that an instance sends for each transmission of updates of one origin: the
// encoded messages, before encryption. It is used for measurements.
func EncodedSize(origin string, updates []assignment.Update) int {
	size := 0
	for _, packed := range packUpdates(origin, updates) {
		message := updateMessage{Version: version, Origin: origin, Incarnation: 1 << 50, Number: 1 << 20, Held: 100_000, Updates: packed}
		size += len(encode(message))
	}
	return size
}

// SendsPerMessage returns the number of times that each instance sends a message, given the number of members. It is
// used for measurements.
func SendsPerMessage(members int) int { return roundsPerMessage(members) * min(fanout, members-1) }
