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
	{"question", message{Version: 1, Number: 77}, "8401184df400"},
	{"answer", message{Version: 1, Number: 77, Answer: true, List: 1 << 33}, "8401184df51b0000000200000000"},
	{"answer without a list", message{Version: 1, Number: 78, Answer: true, List: -1}, "8401184ef520"},
}

// TestGoldenMessages holds questions and answers to the bytes of the version before, both ways: members of two versions
// run side by side while a new one is rolled out.
func TestGoldenMessages(t *testing.T) {
	for _, m := range goldenMessages {
		t.Run(m.name, func(t *testing.T) {
			if got := hex.EncodeToString(codec.Encode(m.value)); got != m.hex {
				t.Errorf("written as %s, want %s", got, m.hex)
			}
			raw, err := hex.DecodeString(m.hex)
			if err != nil {
				t.Fatal(err)
			}
			var back message
			if err := decoding.Unmarshal(raw, &back); err != nil || back != m.value {
				t.Errorf("read as %+v, %v, want %+v", back, err, m.value)
			}
		})
	}
}
