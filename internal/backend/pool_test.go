package backend_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/testcluster/scriptedserver"
)

// TestOutcomes goes through the protocol page's table, and through what no sound node says.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		greeting, reply string
		want            routing.Outcome
	}{
		"row":                          {scriptedserver.Welcome, scriptedserver.Status("role", "primary") + scriptedserver.Row + scriptedserver.Ready, routing.Answered},
		"row, closed before ready":     {scriptedserver.Welcome, scriptedserver.Row + "!", routing.Answered},
		"no primary":                   {scriptedserver.Welcome, scriptedserver.Failure("25006"), routing.NotPrimary},
		"too far behind":               {scriptedserver.Welcome, scriptedserver.Failure("72000"), routing.NotPrimary},
		"error":                        {scriptedserver.Welcome, scriptedserver.Failure("XX000"), routing.Errored},
		"fatal error":                  {scriptedserver.Welcome, string(pgwire.AppendError(nil, true, "XX000", "no", 0)) + "!", routing.Errored},
		"turned away":                  {scriptedserver.Welcome, scriptedserver.Failure("53300"), routing.Rejected},
		"turned away while signing on": {string(pgwire.AppendError(nil, true, "53300", "no", 0)), "", routing.Rejected},
		"not let in":                   {string(pgwire.AppendError(nil, true, "28000", "no", 0)), "", routing.ConnectFailed},
		"password wanted":              {"R\x00\x00\x00\x08\x00\x00\x00\x03", "", routing.ConnectFailed},
		"never comes up":               {"", "", routing.ConnectFailed},
		"closed after the query":       {scriptedserver.Welcome, "!", routing.ConnectionLost},
		"closed within the row":        {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.RowValue + "!", routing.ConnectionLost},
		"garbage":                      {scriptedserver.Welcome, "what is this", routing.ConnectionLost},
		"an error within the row":      {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.RowValue + scriptedserver.Failure("53300"), routing.Errored},
		"a miss within the row":        {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.Failure("25006"), routing.Errored},
		"an error cut short":           {scriptedserver.Welcome, scriptedserver.Failure("53300")[:9] + "!", routing.ConnectionLost},
		"the tag's last byte missing":  {scriptedserver.Welcome, scriptedserver.Row[:len(scriptedserver.Row)-1] + "!", routing.ConnectionLost},
		"two rows":                     {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.RowValue + scriptedserver.RowValue + scriptedserver.RowEnd + scriptedserver.Ready, routing.ConnectionLost},
		"a value too long":             {scriptedserver.Welcome, scriptedserver.RowStart + "D\x00\x03\x00\x00", routing.ConnectionLost},
		"ready out of turn":            {scriptedserver.Welcome, scriptedserver.Ready, routing.ConnectionLost},
		"a description cut short":      {scriptedserver.Welcome, "T\x00\x00\x00\x0a\x00\x01ab\x00\x00" + scriptedserver.RowValue + scriptedserver.RowEnd + scriptedserver.Ready, routing.ConnectionLost},
		"a tag that does not end":      {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.RowValue + "C\x00\x00\x00\x05x" + scriptedserver.Ready, routing.ConnectionLost},
		"reports that can't be read": {scriptedserver.Welcome, scriptedserver.Status("load", "x0=\xff,x1") + scriptedserver.Status("applied_ms", "soon") +
			"S\x00\x00\x00\x06no" + scriptedserver.Row + scriptedserver.Ready, routing.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := scriptedserver.Start(t, c.greeting, c.reply)
			p, harness := startPool(t, 9, s)
			harness.send(p, "n0", 0)
			got := <-harness.results
			if got.outcome != c.want || got.outcome == routing.Answered && string(got.reply.RowMessages) != scriptedserver.Row {
				t.Errorf("%d, want %d: %+v", got.outcome, c.want, got.reply)
			}
		})
	}
	p, harness := startPool(t, 9, &scriptedserver.Node{Addr: "127.0.0.1:1"})
	harness.send(p, "n0", 0)
	harness.send(p, "nowhere", 0)
	for range 2 {
		if got := <-harness.results; got.outcome != routing.ConnectFailed {
			t.Errorf("nobody listens there: %d", got.outcome)
		}
	}
}

// TestRowsNobodyAskedFor guards against an early row that would pass for the next query's answer.
func TestRowsNobodyAskedFor(t *testing.T) {
	s := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready+scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready)
	p, harness := startPool(t, 9, s)
	for range 2 {
		harness.send(p, "n0", 0)
		if got := <-harness.results; got.outcome != routing.Answered {
			t.Fatal(got.outcome)
		}
		if len(s.Queries) == 1 {
			<-s.Ended
		}
	}
	if len(s.Opened()) != 2 {
		t.Errorf("%d connections", len(s.Opened()))
	}
}

// TestWhatStandsBehindAnAnswer: the answer is good, and its connection carries nothing more, also where the rest
// comes in a piece of its own.
func TestWhatStandsBehindAnAnswer(t *testing.T) {
	for _, behind := range []string{scriptedserver.Row + scriptedserver.Ready, "noise", "\x00"} {
		for tries := 1; ; tries++ {
			s := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready+behind, scriptedserver.Row+scriptedserver.Ready+"|"+behind, scriptedserver.Row+scriptedserver.Ready)
			p, harness := startPool(t, 9, s)
			var ends []routing.Outcome
			for range 3 {
				harness.send(p, "n0", 0)
				got := <-harness.results
				ends = append(ends, got.outcome)
				if got.outcome == routing.Answered && string(got.reply.RowMessages) != scriptedserver.Row {
					t.Fatalf("%q behind: %q", behind, got.reply.RowMessages)
				}
			}
			if n := len(s.Opened()); slices.Equal(ends, slices.Repeat([]routing.Outcome{routing.Answered}, 3)) && n == 3 {
				break
			} else if tries == 5 { // the node may stand still between its two writes, but not each time
				t.Errorf("%q behind: %s, %d connections", behind, ends, n)
				break
			}
		}
	}
}

// TestAnAnswerThatDoesNotEnd guards against messages cut short, which would hold their command to its end.
func TestAnAnswerThatDoesNotEnd(t *testing.T) {
	for _, part := range []string{"T", scriptedserver.RowStart + scriptedserver.RowValue[:9], "S\x00\x00\x80\x00load"} {
		p, harness := startPool(t, 9, scriptedserver.Start(t, scriptedserver.Welcome, part))
		began := time.Now()
		harness.send(p, "n0", 0)
		if got := <-harness.results; got.outcome != routing.ConnectionLost || time.Since(began) > 5*time.Second {
			t.Errorf("%q: %d after %v", part, got.outcome, time.Since(began))
		}
	}
}

// TestConnectionsAreKeptReleasedAndBounded: two queries in turn use one connection; with the limit reached by attempts that
// hang, the next one finds none; cancelled attempts and released or removed nodes give theirs back.
func TestConnectionsAreKeptReleasedAndBounded(t *testing.T) {
	a, b := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready, "", scriptedserver.Row+scriptedserver.Ready), scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, "")
	p, harness := startPool(t, 2, a, b)
	answered := func(node string) {
		t.Helper()
		harness.send(p, node, 0)
		if got := <-harness.results; got.outcome != routing.Answered {
			t.Fatalf("%s: %d", node, got.outcome)
		}
	}
	answered("n0")
	answered("n0")
	if n := len(a.Opened()); n != 1 {
		t.Errorf("%d connections for two queries in turn", n)
	}
	hung := harness.send(p, "n0", 0) // no answer: it holds the first
	answered("n1")
	full := harness.send(p, "n1", 0)                          // holds the second, so there is no room for a third
	for _, s := range []*scriptedserver.Node{a, a, a, b, b} { // all are written
		<-s.Queries
	}
	harness.send(p, "n0", 0)
	if got := <-harness.results; got.outcome != routing.ConnectFailed {
		t.Fatalf("beyond the limit: %d", got.outcome)
	}
	harness.mu.Lock()
	for _, d := range []*inflight.Attempt{hung, full} {
		if !p.Cancel(d) {
			t.Error("a written attempt that is cancelled may have run")
		}
	}
	harness.mu.Unlock()
	answered("n0")
	harness.mu.Lock()
	p.CloseIdle("n0")
	harness.mu.Unlock()
	for _, s := range []*scriptedserver.Node{a, a, b} { // two of the first, one of the second
		<-s.Ended
	}
	harness.mu.Lock()
	p.Remove("n1")
	harness.mu.Unlock()
	harness.send(p, "n1", 0)
	if got := <-harness.results; got.outcome != routing.ConnectFailed || len(b.Opened()) != 1 {
		t.Errorf("a node that was forgotten: %d, %d connections", got.outcome, len(b.Opened()))
	}
}

// TestHealthCheck: a node is asked for its load report, and answers with one, with an error, and not at all.
func TestHealthCheck(t *testing.T) {
	value := "x0=17.5,x1=1,inflight=7"
	cell := fmt.Sprintf("\x00\x01\x00\x00\x00%c%s", len(value), value)
	s := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.RowStart+string(pgwire.Frame{Type: 'D', Body: []byte(cell)}.Append(nil))+scriptedserver.RowEnd+scriptedserver.Ready,
		scriptedserver.Failure("57P03"), "")
	p, harness := startPool(t, 9, s)
	for _, want := range []result{{outcome: routing.Answered, load: value}, {outcome: routing.Errored}, {outcome: routing.TimedOut}} {
		harness.mu.Lock()
		p.CheckHealth("n0")
		harness.mu.Unlock()
		if got := <-harness.results; got.outcome != want.outcome || got.load != want.load {
			t.Errorf("%+v, want %+v", got, want)
		}
		if q := <-s.Queries; q != "SHOW load" {
			t.Error(q)
		}
	}
}
