package engine_test

import (
	"fmt"
	"testing"
	"time"

	"cairntiller/internal/metrics"
	"cairntiller/internal/testcluster/scriptedserver"
)

// TestImplausibleReports checks that a position later than the clock and a load report with a malformed field are
// discarded, and that the answer sent with them is still used.
func TestImplausibleReports(t *testing.T) {
	report := func(late time.Duration) (millis, seconds string) {
		at := time.Now().Add(late).UnixMilli()
		return fmt.Sprint(at), fmt.Sprintf("%d.%03d", at/1000, at%1000)
	}
	for name, c := range map[string]struct {
		offset time.Duration
		load   string
		want   int64
	}{"valid": {-time.Second, "x0=%s,x1=0", 0}, "later than the clock": {time.Hour, "x0=%s,x1=0", 2},
		"malformed field": {-time.Second, "x0=%s,x1=?", 1}} {
		millis, seconds := report(c.offset)
		r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome,
			scriptedserver.Status("role", "replica")+scriptedserver.Status("applied_ms", millis)+scriptedserver.Status("load", fmt.Sprintf(c.load, seconds))+scriptedserver.Row+scriptedserver.Ready))
		before := metrics.Value("load reports impossible")
		conn := r.dial(t)
		sendCommand(conn, "1", "look", "900")
		if got := summary(readUntil(t, conn, 'Z')); got != "row" {
			t.Errorf("%s: %q", name, got)
		}
		applied := make(chan struct{}) // the answer is sent before the reports that came with it are applied
		r.engine.Post(0, func(int64) { close(applied) })
		<-applied
		if got := metrics.Value("load reports impossible") - before; got != c.want {
			t.Errorf("%s: %d discarded as implausible", name, got)
		}
	}
}
