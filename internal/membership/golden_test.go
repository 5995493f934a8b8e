package membership

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"

	"cairntiller/internal/assignment"
)

// goldenUpdates covers updates of the origin and of another instance, with and without each field.
var goldenUpdates = []assignment.Update{
	{Key: "probe/s-1", Owner: "r1", Term: 7, Age: 250_000, NodeStarted: 1_796_148_000_000_000, Position: 1_796_148_000_123_456, PrimaryHint: 1, LoadReport: "x0=1796148000.000000,x1=0,inflight=3"},
	{Key: "probe/s-2", Owner: "r2", Term: 1 << 40, Age: 0, NodeStarted: -1, Unresponsive: true, PrimaryHint: -1},
	{Key: "probe/s-3", Owner: "r1", Age: 1},
}

var goldenMessages = []struct {
	name  string
	value any
	hex   string
}{
	{"metadata", metadata{Version: 1, Cluster: "kandy", Incarnation: 1_796_148_000_000_001, Weight: 1.5, Leaving: true}, "8501656b616e64791b000661964b810801f93e00f5"},
	{"update message", updateMessage{Version: 1, Origin: "r1", Incarnation: 1_796_148_000_000_001, Number: 99, Held: 123_456, Updates: packUpdates("r1", goldenUpdates)[0]}, "86016272311b000661964b81080118631a0001e240990003896970726f62652f732d3160071a0003d0901b000661964b810800f41b000661964b82ea4001782478303d313739363134383030302e3030303030302c78313d302c696e666c696768743d33896970726f62652f732d326272321b00000100000000000020f5002060896970726f62652f732d3360000100f4000060"},
	{"packet", [][]byte{{1, 2, 3}, {4}}, "82430102034104"},
	{"direct message", directMessage{Version: 1, From: "r2", Incarnation: 3, Kind: KindVersionAudit, Body: []byte("body")}, "8501627232030344626f6479"},
	{"state", joinState{Version: 1, Members: []memberRecord{{Name: "r2", Incarnation: 12, Rejoins: 3}}, Updates: []wireUpdate{toWire(goldenUpdates[0]), toWire(goldenUpdates[1])}}, "830181836272320c0382896970726f62652f732d31627231071a0003d0901b000661964b810800f41b000661964b82ea4001782478303d313739363134383030302e3030303030302c78313d302c696e666c696768743d33896970726f62652f732d326272321b00000100000000000020f5002060"},
}

// The encoding of messages between members must not change between versions, in both directions: members of two
// versions run side by side during a rollout and must understand each other.
func TestGoldenMessages(t *testing.T) {
	for _, m := range goldenMessages {
		t.Run(m.name, func(t *testing.T) {
			raw := encode(m.value)
			if got := hex.EncodeToString(raw); got != m.hex {
				t.Errorf("encoded as %s, want %s", got, m.hex)
			}
			old, err := hex.DecodeString(m.hex)
			if err != nil {
				t.Fatal(err)
			}
			back := reflect.New(reflect.TypeOf(m.value))
			if err := decoder.Unmarshal(old, back.Interface()); err != nil || !reflect.DeepEqual(back.Elem().Interface(), m.value) {
				t.Errorf("decoded as %+v, %v, want %+v", back.Elem(), err, m.value)
			}
		})
	}
}

// Decodes the recorded messages the way that a member does.
func TestGoldenUpdatesAreRead(t *testing.T) {
	raw, err := hex.DecodeString(goldenMessages[1].hex)
	if err != nil {
		t.Fatal(err)
	}
	message, err := decodeUpdateMessage(raw)
	if err != nil {
		t.Fatal(err)
	}
	updates, err := unpackUpdates(&message)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range goldenUpdates {
		want.Age += 123_456 // the recorded Held
		if updates[i] != want {
			t.Errorf("decoded update %+v, want %+v", updates[i], want)
		}
	}
	if !isDirect(encode(goldenMessages[3].value)) || isDirect(encode(goldenMessages[2].value)) {
		t.Error("isDirect confuses a packet with a direct message")
	}
	metadataBytes, err := hex.DecodeString(goldenMessages[0].hex)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := decodeMetadata(metadataBytes); err != nil || m.Incarnation != 1_796_148_000_000_001 || m.Weight != 1.5 || !m.Leaving || m.Cluster != "kandy" {
		t.Errorf("unexpected metadata: %+v, %v", m, err)
	}
	directBytes, err := hex.DecodeString(goldenMessages[3].hex)
	if err != nil {
		t.Fatal(err)
	}
	if d, err := decodeDirectMessage(directBytes); err != nil || d.From != "r2" || d.Incarnation != 3 || d.Kind != 3 || !bytes.Equal(d.Body, []byte("body")) {
		t.Errorf("unexpected direct message: %+v, %v", d, err)
	}
	if KindLease != 1 || KindLeaseQuery != 2 || KindVersionAudit != 3 || KindRollout != 4 {
		t.Error("a kind of direct message has changed its number")
	}
}
