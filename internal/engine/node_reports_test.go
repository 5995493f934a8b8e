package engine_test

import (
	"fmt"
	"testing"
	"time"

	"cairntiller/internal/testcluster/scriptedserver"
)

// TestReportsThatCantBeTrue: a position later than the clock, or a report of which a part can't be read, proves
// nothing, and the answer beside it stands.
func TestReportsThatCantBeTrue(t *testing.T) {
	told := func(late time.Duration) (millis, seconds string) {
		at := time.Now().Add(late).UnixMilli()
		return fmt.Sprint(at), fmt.Sprintf("%d.%03d", at/1000, at%1000)
	}
	for name, c := range map[string]struct {
		late  time.Duration
		load  string
		wants int64
	}{"true": {-time.Second, "x0=%s,x1=0", 0}, "later than now": {time.Hour, "x0=%s,x1=0", 2},
		"noise behind": {-time.Second, "x0=%s,x1=?", 1}} {
		millis, seconds := told(c.late)
		r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome,
			scriptedserver.Status("role", "replica")+scriptedserver.Status("applied_ms", millis)+scriptedserver.Status("load", fmt.Sprintf(c.load, seconds))+scriptedserver.Row+scriptedserver.Ready))
		before := counterValue("load reports impossible")
		conn := r.dial(t)
		sendCommand(conn, "1", "look", "900")
		if got := summary(readUntil(t, conn, 'Z')); got != "row" {
			t.Errorf("%s: %q", name, got)
		}
		if got := counterValue("load reports impossible") - before; got != c.wants {
			t.Errorf("%s: %d taken for untrue", name, got)
		}
	}
}
