package frontend

import (
	"net"
	"testing"

	"cairntiller/internal/metrics"
	"cairntiller/internal/stream"
)

// TestUnreadCommandsOfGoneClientAreNotAccepted guards against commands that are forwarded after their client has closed its
// connection with much of its input unread.
func TestUnreadCommandsOfGoneClientAreNotAccepted(t *testing.T) {
	for name, disconnect := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, 192<<20)
			c := s.dial(t)
			owner := s.onlySession(t)
			hold := s.input.begin(&session{}) // no input is handled meanwhile
			before := metrics.Value("commands of clients that had gone") + metrics.Value("commands over the input rate")
			writeCommands(t, c, 0, 50)
			disconnect(c.(*net.TCPConn))
			eventually(t, "the end has arrived", func() bool { return owner.stream.Peer() == stream.PeerGone })
			s.input.end(hold, 1)
			eventually(t, "the session has ended", func() bool { return len(s.allSessions()) == 0 })
			if len(s.submitted) > 0 {
				t.Errorf("%d commands were accepted", len(s.submitted))
			}
			if name == "closed" && metrics.Value("commands of clients that had gone")+metrics.Value("commands over the input rate") == before {
				t.Error("the commands were not counted")
			}
		})
	}
}
