package backend_test

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/testcluster/scriptedserver"
)

// TestOutcomes checks the outcome for each kind of reply in the protocol documentation, and for malformed replies.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		greeting, reply string
		want            routing.Outcome
	}{
		"row":                        {scriptedserver.Welcome, scriptedserver.Status("role", "primary") + scriptedserver.Row + scriptedserver.Ready, routing.Answered},
		"row, closed before ready":   {scriptedserver.Welcome, scriptedserver.Row + "!", routing.Answered},
		"not primary":                {scriptedserver.Welcome, scriptedserver.Failure("25006"), routing.NotPrimary},
		"too far behind":             {scriptedserver.Welcome, scriptedserver.Failure("72000"), routing.NotPrimary},
		"error":                      {scriptedserver.Welcome, scriptedserver.Failure("XX000"), routing.Errored},
		"fatal error":                {scriptedserver.Welcome, string(pgwire.AppendError(nil, true, "XX000", "no", 0)) + "!", routing.Errored},
		"rejected":                   {scriptedserver.Welcome, scriptedserver.Failure("53300"), routing.Rejected},
		"rejected at startup":        {string(pgwire.AppendError(nil, true, "53300", "no", 0)), "", routing.Rejected},
		"authentication failed":      {string(pgwire.AppendError(nil, true, "28000", "no", 0)), "", routing.ConnectFailed},
		"password requested":         {"R\x00\x00\x00\x08\x00\x00\x00\x03", "", routing.ConnectFailed},
		"startup never completes":    {"", "", routing.ConnectFailed},
		"closed after the query":     {scriptedserver.Welcome, "!", routing.ConnectionLost},
		"closed within the row":      {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.RowValue + "!", routing.ConnectionLost},
		"garbage":                    {scriptedserver.Welcome, "what is this", routing.ConnectionLost},
		"error within the row":       {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.RowValue + scriptedserver.Failure("53300"), routing.Errored},
		"not primary within the row": {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.Failure("25006"), routing.Errored},
		"truncated error":            {scriptedserver.Welcome, scriptedserver.Failure("53300")[:9] + "!", routing.ConnectionLost},
		"tag's last byte missing":    {scriptedserver.Welcome, scriptedserver.Row[:len(scriptedserver.Row)-1] + "!", routing.ConnectionLost},
		"two rows":                   {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.RowValue + scriptedserver.RowValue + scriptedserver.RowEnd + scriptedserver.Ready, routing.ConnectionLost},
		"value too long":             {scriptedserver.Welcome, scriptedserver.RowStart + "D\x00\x03\x00\x00", routing.ConnectionLost},
		"unexpected ready":           {scriptedserver.Welcome, scriptedserver.Ready, routing.ConnectionLost},
		"truncated row description":  {scriptedserver.Welcome, "T\x00\x00\x00\x0a\x00\x01ab\x00\x00" + scriptedserver.RowValue + scriptedserver.RowEnd + scriptedserver.Ready, routing.ConnectionLost},
		"unterminated tag":           {scriptedserver.Welcome, scriptedserver.RowStart + scriptedserver.RowValue + "C\x00\x00\x00\x05x" + scriptedserver.Ready, routing.ConnectionLost},
		"malformed reports": {scriptedserver.Welcome, scriptedserver.Status("load", "x0=\xff,x1") + scriptedserver.Status("applied_ms", "soon") +
			"S\x00\x00\x00\x06no" + scriptedserver.Row + scriptedserver.Ready, routing.Answered},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := scriptedserver.Start(t, c.greeting, c.reply)
			p, harness := startPool(t, 9, s)
			harness.send(p, "n0", 0)
			got := <-harness.results
			if got.outcome != c.want || got.outcome == routing.Answered && string(got.reply.RowMessages) != scriptedserver.Row {
				t.Errorf("outcome %d, want %d: %+v", got.outcome, c.want, got.reply)
			}
		})
	}
	p, harness := startPool(t, 9, &scriptedserver.Node{Addr: "127.0.0.1:1"})
	harness.send(p, "n0", 0)
	harness.send(p, "nowhere", 0)
	for range 2 {
		if got := <-harness.results; got.outcome != routing.ConnectFailed {
			t.Errorf("unreachable node: outcome %d", got.outcome)
		}
	}
}

// TestUnsolicitedRow guards against taking a surplus row for the reply to the next query.
func TestUnsolicitedRow(t *testing.T) {
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

// TestStatusBetweenReplies guards against taking the status that a node reports while no query is in flight for a part of
// its next reply: a position from before a write would become the write's.
func TestStatusBetweenReplies(t *testing.T) {
	s := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready,
		scriptedserver.Row+scriptedserver.Status("role", "replica")+scriptedserver.Ready)
	p, harness := startPool(t, 9, s)
	harness.send(p, "n0", 0)
	if got := <-harness.results; got.outcome != routing.Answered {
		t.Fatal(got.outcome)
	}
	io.WriteString(s.Opened()[0], scriptedserver.Status("applied_ms", "1")+scriptedserver.Status("role", "primary")+scriptedserver.Status("load", "x0=1"))
	time.Sleep(50 * time.Millisecond)
	harness.send(p, "n0", 0)
	got := <-harness.results
	if want := (pgwire.NodeReport{Replica: true}); got.outcome != routing.Answered || got.reply.NodeReport != want {
		t.Errorf("outcome %v, status %+v, want %+v", got.outcome, got.reply.NodeReport, want)
	}
	if n := len(s.Opened()); n != 1 {
		t.Errorf("%d connections, want the same one", n)
	}
}

// TestTrailingBytesAfterReply checks that a reply followed by further bytes is used and that its connection is not
// reused, also if those bytes arrive in a segment of their own.
func TestTrailingBytesAfterReply(t *testing.T) {
	for _, trailing := range []string{scriptedserver.Row + scriptedserver.Ready, "noise", "\x00"} {
		for tries := 1; ; tries++ {
			s := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready+trailing, scriptedserver.Row+scriptedserver.Ready+"|"+trailing, scriptedserver.Row+scriptedserver.Ready)
			p, harness := startPool(t, 9, s)
			var outcomes []routing.Outcome
			for range 3 {
				harness.send(p, "n0", 0)
				got := <-harness.results
				outcomes = append(outcomes, got.outcome)
				if got.outcome == routing.Answered && string(got.reply.RowMessages) != scriptedserver.Row {
					t.Fatalf("trailing %q: reply %q", trailing, got.reply.RowMessages)
				}
			}
			if n := len(s.Opened()); slices.Equal(outcomes, slices.Repeat([]routing.Outcome{routing.Answered}, 3)) && n == 3 {
				break
			} else if tries == 5 { // the node may be descheduled between its two writes, but not every time
				t.Errorf("trailing %q: outcomes %s, %d connections", trailing, outcomes, n)
				break
			}
		}
	}
}

// TestIncompleteReplyTimesOut guards against truncated messages that would block their command until its deadline.
func TestIncompleteReplyTimesOut(t *testing.T) {
	for _, part := range []string{"T", scriptedserver.RowStart + scriptedserver.RowValue[:9], "S\x00\x00\x80\x00load"} {
		p, harness := startPool(t, 9, scriptedserver.Start(t, scriptedserver.Welcome, part))
		began := time.Now()
		harness.send(p, "n0", 0)
		if got := <-harness.results; got.outcome != routing.ConnectionLost || time.Since(began) > 5*time.Second {
			t.Errorf("%q: outcome %d after %v", part, got.outcome, time.Since(began))
		}
	}
}

// TestConnectionReuseReleaseAndLimit checks that consecutive queries share a connection, that an attempt fails once
// hung attempts use up the connection limit, and that cancelling attempts, CloseIdle and Remove release connections.
func TestConnectionReuseReleaseAndLimit(t *testing.T) {
	a, b := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready, "", scriptedserver.Row+scriptedserver.Ready), scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, "")
	p, harness := startPool(t, 2, a, b)
	checkAnswered := func(node string) {
		t.Helper()
		harness.send(p, node, 0)
		if got := <-harness.results; got.outcome != routing.Answered {
			t.Fatalf("%s: outcome %d", node, got.outcome)
		}
	}
	checkAnswered("n0")
	checkAnswered("n0")
	if n := len(a.Opened()); n != 1 {
		t.Errorf("%d connections for two consecutive queries", n)
	}
	hung := harness.send(p, "n0", 0) // no reply: it holds the first connection
	checkAnswered("n1")
	hungOther := harness.send(p, "n1", 0)                     // holds the second connection, which reaches the limit
	for _, s := range []*scriptedserver.Node{a, a, a, b, b} { // all queries have been written
		<-s.Queries
	}
	harness.send(p, "n0", 0)
	if got := <-harness.results; got.outcome != routing.ConnectFailed {
		t.Fatalf("beyond the limit: outcome %d", got.outcome)
	}
	harness.mu.Lock()
	for _, attempt := range []*inflight.Attempt{hung, hungOther} {
		if !p.Cancel(attempt) {
			t.Error("a cancelled attempt that was written is reported as not run")
		}
	}
	harness.mu.Unlock()
	checkAnswered("n0")
	harness.mu.Lock()
	p.CloseIdle("n0")
	harness.mu.Unlock()
	for _, s := range []*scriptedserver.Node{a, a, b} { // two connections to the first node, one to the second
		<-s.Ended
	}
	harness.mu.Lock()
	p.Remove("n1")
	harness.mu.Unlock()
	harness.send(p, "n1", 0)
	if got := <-harness.results; got.outcome != routing.ConnectFailed || len(b.Opened()) != 1 {
		t.Errorf("removed node: outcome %d, %d connections", got.outcome, len(b.Opened()))
	}
}

// TestHealthCheck checks the outcomes of health checks that are answered with a load report, with an error, and not at
// all.
func TestHealthCheck(t *testing.T) {
	value := "x0=17.5,x1=1,inflight=7"
	cell := fmt.Sprintf("\x00\x01\x00\x00\x00%c%s", len(value), value)
	s := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.RowStart+string(pgwire.Frame{Type: 'D', Body: []byte(cell)}.Append(nil))+scriptedserver.RowEnd+scriptedserver.Ready,
		scriptedserver.Failure("57P03"), "")
	p, harness := startPool(t, 9, s)
	for _, want := range []result{{outcome: routing.Answered, load: value}, {outcome: routing.Errored}, {outcome: routing.TimedOut}} {
		harness.mu.Lock()
		p.CheckHealth(inflight.HealthCheck{Node: "n0"})
		harness.mu.Unlock()
		if got := <-harness.results; got.outcome != want.outcome || got.load != want.load {
			t.Errorf("%+v, want %+v", got, want)
		}
		if q := <-s.Queries; q != "SHOW load" {
			t.Error(q)
		}
	}
}
