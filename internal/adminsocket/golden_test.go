package adminsocket

import (
	"encoding/json"
	"testing"
)

// TestGoldenLines checks the format of the lines on the socket: an operator's command and the router that it connects
// to may be of different versions.
func TestGoldenLines(t *testing.T) {
	for _, c := range []struct {
		value any
		want  string
	}{
		{Request{Command: "leases"}, `{"verb":"leases"}`},
		{Request{Command: "fleet", Name: "n", Args: map[string]string{"b": "2", "a": "1"}, Text: "(plan)"}, `{"verb":"fleet","name":"n","args":{"a":"1","b":"2"},"text":"(plan)"}`},
		{Refusal{"not today"}, `{"error":"not today"}`},
	} {
		if raw, err := json.Marshal(c.value); err != nil || string(raw) != c.want {
			t.Errorf("%s, %v, want %s", raw, err, c.want)
		}
	}
}
