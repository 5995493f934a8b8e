package membership

import "cairntiller/internal/assignment"

// EncodedSize is how many bytes an instance sends each time that it sends updates of one origin: the encoded messages,
// before encryption. It is for measurements.
func EncodedSize(origin string, updates []assignment.Update) int {
	size := 0
	for _, one := range packUpdates(origin, updates) {
		message := updateMessage{Version: version, Origin: origin, Incarnation: 1 << 50, Number: 1 << 20, Held: 100_000, Updates: one}
		size += len(encode(message))
	}
	return size
}

// SendsPerMessage is how often each instance sends a message if there are so many members. It is for measurements.
func SendsPerMessage(members int) int { return roundsPerMessage(members) * min(fanout, members-1) }
