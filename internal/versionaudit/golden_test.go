package versionaudit

import (
	"encoding/hex"
	"testing"

	"cairntiller/internal/codec"
)

var goldenMessages = []struct {
	name  string
	value message
	hex   string
}{
	{"query", message{Version: 1, Number: 77}, "8401184df400"},
	{"answer", message{Version: 1, Number: 77, Answer: true, List: 1 << 33}, "8401184df51b0000000200000000"},
	{"answer without a list", message{Version: 1, Number: 78, Answer: true, List: -1}, "8401184ef520"},
}

// TestGoldenMessages checks that queries and answers are encoded to, and decoded from, the same bytes as in the
// previous version: members of two versions run side by side during a rollout.
func TestGoldenMessages(t *testing.T) {
	for _, m := range goldenMessages {
		t.Run(m.name, func(t *testing.T) {
			if got := hex.EncodeToString(codec.Encode(m.value)); got != m.hex {
				t.Errorf("encoded as %s, want %s", got, m.hex)
			}
			raw, err := hex.DecodeString(m.hex)
			if err != nil {
				t.Fatal(err)
			}
			var decoded message
			if err := decoding.Unmarshal(raw, &decoded); err != nil || decoded != m.value {
				t.Errorf("decoded as %+v, %v, want %+v", decoded, err, m.value)
			}
		})
	}
}
