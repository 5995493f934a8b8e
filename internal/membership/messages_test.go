package membership

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"cairntiller/internal/assignment"
)

// Updates of all sizes are packed completely into messages that each fit a datagram.
func TestPackedUpdatesFitDatagrams(t *testing.T) {
	var all []assignment.Update
	for i := range 500 {
		all = append(all, assignment.Update{Key: fmt.Sprintf("probe/%0100d", i), Owner: "a", LoadReport: strings.Repeat("x", i)})
	}
	count := 0
	for _, packed := range packUpdates("a", all) {
		message := updateMessage{Version: version, Origin: "a", Incarnation: 1 << 60, Number: 1 << 60, Held: 1 << 40, Updates: packed}
		if size := len(encode(message)); size > maxUpdateMessage+100 {
			t.Fatalf("message of %d bytes exceeds a datagram", size)
		}
		decoded, err := decodeUpdateMessage(encode(message))
		if err != nil {
			t.Fatal(err)
		}
		updates, err := unpackUpdates(&decoded)
		if err != nil {
			t.Fatal(err)
		}
		count += len(updates)
	}
	if count != 500 {
		t.Errorf("%d updates decoded, want 500", count)
	}
}

// For any input, decoded messages stay within their limits.
func FuzzMessages(f *testing.F) {
	f.Add(encode(updateMessage{Version: version, Origin: "a", Incarnation: 1, Number: 1, Updates: packUpdates("a", []assignment.Update{{Key: "k"}})[0]}))
	f.Add(encode(joinState{Version: version, Members: []memberRecord{{Name: "a"}}, Updates: []wireUpdate{{Key: "k", Age: -1}}}))
	f.Add(encode(updateMessage{Version: version, Origin: "a", Held: math.MaxInt64, Updates: packUpdates("a", []assignment.Update{{Key: "k", Age: math.MaxInt64}})[0]}))
	f.Add(encode(metadata{Version: version, Cluster: "kandy", Weight: 1}))
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if message, err := decodeUpdateMessage(raw); err == nil {
			updates, err := unpackUpdates(&message)
			for _, update := range updates {
				if err != nil || update.Age < 0 || update.Age > math.MaxInt64/2 || message.Held > math.MaxInt64/2 || update.Position < 0 || update.Key == "" || update.Owner == "" {
					t.Fatalf("update out of bounds: %+v, %v", update, err)
				}
			}
		}
		if m, err := decodeMetadata(raw); err == nil && !(m.Weight > 0) {
			t.Fatalf("metadata with an invalid weight: %+v", m)
		}
	})
}
