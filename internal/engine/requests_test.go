package engine_test

import (
	"net"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// TestOneAnswerUnderEveryEnding: whatever the nodes do, each command has one answer, and the next one its own.
func TestOneAnswerUnderEveryEnding(t *testing.T) {
	bad, good := scriptedserver.Failure("XX000"), scriptedserver.Row+scriptedserver.Ready
	for name, c := range map[string]struct {
		group, want      string
		primary, replica []string
	}{
		"answered":                      {"put", "row", []string{good}, nil},
		"a write that may have run":     {"put", "58000", []string{"!", good}, nil},
		"a write with no end":           {"put", "58000", []string{"", good}, nil},
		"a write turned away once":      {"put", "row", []string{scriptedserver.Failure("53300"), good}, nil},
		"a read that broke goes again":  {"look", "row", []string{good}, []string{"!", good}},
		"a read with no end":            {"look", "53300", nil, nil},
		"a read that meets errors only": {"look", "53300", []string{bad, bad, bad}, []string{bad, bad, bad}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome, c.primary...), scriptedserver.Start(t, scriptedserver.Welcome, c.replica...))
			conn := r.dial(t)
			sendCommand(conn, "1", c.group, "900")
			if got := summary(readUntil(t, conn, 'Z')); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
			conn.Write(pgwire.AppendQuery(nil, ""))
			if got := readUntil(t, conn, 'Z'); got[0] != 'I' {
				t.Errorf("after its answer the connection said %q", got)
			}
			for r.engine.Unanswered() > 0 {
				<-r.engine.AllAnswered()
			}
		})
	}
}

// TestPipelinedAnswersKeepTheirOrder: the second is answered first, and waits for its turn.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Failure("XX000")), scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready)
	r := startRouter(t, 9, primary, replica)
	c := r.dial(t)
	sendCommand(c, "1", "put", "900")
	sendCommand(c, "2", "look", "900")
	c.Write(pgwire.AppendQuery(nil, ""))
	for _, want := range []string{"58000", "row", "I\x00\x00\x00\x04" + scriptedserver.Ready} {
		if got := summary(readUntil(t, c, 'Z')); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// TestClientGone: its command's attempt is cancelled, and the router owes nothing.
func TestClientGone(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, "")
	r := startRouter(t, 9, primary, replica)
	c := r.dial(t)
	sendCommand(c, "1", "look", "900")
	<-replica.Queries
	c.Close()
	for r.engine.Unanswered() > 0 {
		<-r.engine.AllAnswered()
	}
	<-replica.Ended
}

// TestEndBetweenCommands is a planned restart: what is taken is answered, then each connection ends.
func TestEndBetweenCommands(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, "")
	r := startRouter(t, 9, primary, replica)
	busy, idle := r.dial(t), r.dial(t)
	sendCommand(busy, "1", "look", "900")
	<-replica.Queries
	r.front.BeginDrain()
	if got := readUntil(t, idle, 'Z'); string(got) != "end" {
		t.Errorf("between commands: %q", got)
	}
	replica.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	if got := summary(readUntil(t, busy, 'Z')); got != "row" {
		t.Errorf("taken before: %q", got)
	}
	if got := readUntil(t, busy, 'Z'); string(got) != "end" {
		t.Errorf("after its answer: %q", got)
	}
	late, err := net.Dial("tcp", r.addr) // the front has not moved away: its command comes with its startup
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	late.SetDeadline(time.Now().Add(20 * time.Second))
	late.Write(pgwire.AppendStartup(nil, "portal", "crm"))
	readUntil(t, late, 'Z')
	sendCommand(late, "2", "look", "900")
	<-replica.Queries
	replica.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	if got := summary(readUntil(t, late, 'Z')); got != "row" {
		t.Errorf("come while leaving: %q", got)
	}
	late.Close()
	busy.Close()
	idle.Close()
	r.front.WaitClosed(5*time.Second, time.Now().Add(5*time.Second))
}
