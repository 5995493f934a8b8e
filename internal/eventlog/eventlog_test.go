package eventlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// TestSuppressedRecordsAreCounted checks that a flood of records is cut to a burst and that the number left out is logged.
func TestSuppressedRecordsAreCounted(t *testing.T) {
	var out bytes.Buffer
	former := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	defer slog.SetDefault(former)
	log := New("it happened")
	for i := range 1000 {
		if log.Allow() {
			log.Info("number", i)
		}
	}
	if lines := strings.Count(out.String(), "it happened"); lines < recordBurst || lines > 2*recordBurst {
		t.Errorf("%d records of 1000 were written", lines)
	}
	log.Info("number", "last")
	if !strings.Contains(out.String(), "suppressed=9") {
		t.Errorf("the number of suppressed records is missing: %.200q", out.String())
	}
}
