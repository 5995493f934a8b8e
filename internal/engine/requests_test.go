package engine_test

import (
	"net"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// TestOneAnswerPerCommand checks that a command gets exactly one answer whatever the nodes do, and that the next
// command on the connection gets its own.
func TestOneAnswerPerCommand(t *testing.T) {
	bad, good := scriptedserver.Failure("XX000"), scriptedserver.Row+scriptedserver.Ready
	for name, c := range map[string]struct {
		group, want      string
		primary, replica []string
	}{
		"answered":                      {"put", "row", []string{good}, nil},
		"write, connection lost":        {"put", "58000", []string{"!", good}, nil},
		"write, no reply":               {"put", "58000", []string{"", good}, nil},
		"write rejected once":           {"put", "row", []string{scriptedserver.Failure("53300"), good}, nil},
		"read retried after disconnect": {"look", "row", []string{good}, []string{"!", good}},
		"read, no reply":                {"look", "53300", nil, nil},
		"read, errors only":             {"look", "53300", []string{bad, bad, bad}, []string{bad, bad, bad}},
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
				t.Errorf("reply to the next query: %q", got)
			}
			for r.engine.Unanswered() > 0 {
				<-r.engine.AllAnswered()
			}
		})
	}
}

// TestPipelinedAnswersKeepTheirOrder checks that an answer that is ready early waits for those of earlier commands.
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

// TestClientDisconnect checks that a client's disconnect cancels the attempt of its command, which then no longer
// counts as unanswered.
func TestClientDisconnect(t *testing.T) {
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

// TestDrainClosesBetweenCommands drains the router, as in a planned restart: accepted commands are answered, and each
// connection is closed once no answer is pending.
func TestDrainClosesBetweenCommands(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, "")
	r := startRouter(t, 9, primary, replica)
	busy, idle := r.dial(t), r.dial(t)
	sendCommand(busy, "1", "look", "900")
	<-replica.Queries
	r.frontend.BeginDrain()
	if got := readUntil(t, idle, 'Z'); string(got) != "end" {
		t.Errorf("idle connection: %q", got)
	}
	replica.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	if got := summary(readUntil(t, busy, 'Z')); got != "row" {
		t.Errorf("command accepted before the drain: %q", got)
	}
	if got := readUntil(t, busy, 'Z'); string(got) != "end" {
		t.Errorf("busy connection after its answer: %q", got)
	}
	added, err := net.Dial("tcp", r.addr) // the load balancer still sends connections here
	if err != nil {
		t.Fatal(err)
	}
	defer added.Close()
	added.SetDeadline(time.Now().Add(20 * time.Second))
	added.Write(pgwire.AppendStartup(nil, "portal", "crm"))
	readUntil(t, added, 'Z')
	sendCommand(added, "2", "look", "900")
	<-replica.Queries
	replica.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	if got := summary(readUntil(t, added, 'Z')); got != "row" {
		t.Errorf("connection opened during the drain: %q", got)
	}
	added.Close()
	busy.Close()
	idle.Close()
	r.frontend.WaitClosed(5*time.Second, time.Now().Add(5*time.Second))
}
