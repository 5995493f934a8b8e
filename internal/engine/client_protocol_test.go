package engine_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// TestBadInput checks the error code for each invalid message, and that the connection stays open unless the message
// boundaries are lost.
func TestBadInput(t *testing.T) {
	r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready))
	query := func(s string) string { return string(pgwire.AppendQuery(nil, s)) }
	for in, c := range map[string]struct {
		code      string
		staysOpen bool
	}{
		query("SELECT 1"):                                      {"22023", true},
		query("/* id=1,c=none,d=9,cluster=0 */ x"):             {"22023", true},
		query("/* id=1,c=look,t=none,d=9,cluster=0 */ x"):      {"22023", true},
		query("/* id=1,c=look,d=9,cluster=0 */ SELECT 1; x"):   {"0A000", true},
		query("/* id=1,c=look,d=9,cluster=0 */ SELECT 1\x00x"): {"08P01", false},
		"P\x00\x00\x00\x08\x00\x00\x00\x00":                    {"0A000", true},
		"d\x00\x00\x00\x04":                                    {"0A000", true},
		"Q\x00\x00\x00\x04":                                    {"08P01", false},
		"Q\xff\xff\xff\xff":                                    {"08P01", false},
		"Q\x00\x00\x00\x00":                                    {"08P01", false},
		"?\x00\x00\x00\x04":                                    {"08P01", false},
	} {
		conn := r.dial(t)
		io.WriteString(conn, in)
		last := byte('Z')
		if !c.staysOpen {
			last = 'E'
		}
		if got := summary(readUntil(t, conn, last)); got != c.code {
			t.Errorf("%q: %q, want %q", in, got, c.code)
		}
		if !c.staysOpen {
			if got := readUntil(t, conn, 0); string(got) != "end" {
				t.Errorf("%q: the connection stays open and sends %q", in, got)
			}
			continue
		}
		conn.Write(pgwire.AppendQuery(nil, " ; "))
		if got := readUntil(t, conn, 'Z'); got[0] != 'I' {
			t.Errorf("%q: the next query got %q", in, got)
		}
	}
}

// TestFirstMessages checks the reply to each kind of first message while another connection occupies one of the two
// sessions. Then both sessions are busy and a new connection is rejected; once one of them has been idle for longer
// than idleTimeout, it is evicted for a new connection.
func TestFirstMessages(t *testing.T) {
	t.Parallel()
	slow := scriptedserver.Start(t, scriptedserver.Welcome)
	r := startRouter(t, 2, slow)
	first := r.dial(t)
	sendCommand(first, "1", "put", "5000")
	<-slow.Queries
	for in, want := range map[string]string{
		"\x00\x00\x00\x08\x04\xd2\x16\x2f":                                 "N", // SSLRequest
		"\x00\x00\x00\x08\x04\xd2\x16\x30":                                 "N", // GSSENCRequest
		"\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x00\x00\x00\x00\x00": "",  // CancelRequest
		"\x00\x00\x00\x08\x00\x02\x00\x00":                                 "0A000",
		"\x00\x00\x00\x03":                                                 "08P01",
		"\x7f\x00\x00\x00":                                                 "08P01",
	} {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, in)
		if want == "N" {
			b := make([]byte, 1)
			if _, err := io.ReadFull(c, b); err != nil || b[0] != 'N' {
				t.Errorf("%q: %q, %v", in, b, err)
			}
		} else if got := strings.TrimSuffix(summary(readUntil(t, c, 'Z')), "end"); got != want {
			t.Errorf("%q: %q, want %q", in, got, want)
		}
		c.Close()
	}
	second := r.dial(t)
	sendCommand(second, "2", "put", "5000")
	<-slow.Queries
	third, err := net.Dial("tcp", r.addr) // both sessions are busy
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	third.SetDeadline(time.Now().Add(20 * time.Second))
	if got := summary(readUntil(t, third, 0)); got != "53300" {
		t.Errorf("connection beyond the limit: %q", got)
	}
	slow.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	if got := summary(readUntil(t, first, 'Z')); got != "row" {
		t.Errorf("first connection: %q", got)
	}
	third.Close()
	time.Sleep(2100 * time.Millisecond)
	if r.dial(t); string(readUntil(t, first, 0)) != "end" { // evicted after more than idleTimeout without a command
		t.Error("the idle connection was not closed")
	}
	slow.Opened()[1].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	if got := summary(readUntil(t, second, 'Z')); got != "row" {
		t.Errorf("busy connection: %q", got)
	}
}
