package frontend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
)

// scriptedHandler immediately concludes each request in the way that its command id names.
type scriptedHandler struct{}

func (scriptedHandler) Submit(_ int64, request *inflight.Request) {
	switch request.Command.ID {
	case "answer":
		request.Answer([]byte("T\x00\x00\x00\x1d\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00D\x00\x00\x00\x0d\x00\x01\x00\x00\x00\x03abcC\x00\x00\x00\x0dSELECT 1\x00"))
	case "throttle":
		request.Reject(1_500_250)
	case "fail":
		request.Fail()
	}
}

func (scriptedHandler) ClientGone(int64, *inflight.Request) {}

// wireBytes are the bytes that a client receives on one connection, recorded before a refactoring that had to preserve
// them. The cancel key is random; its eight bytes are replaced by zeros.
const wireBytes = "R\x00\x00\x00\b\x00\x00\x00\x00S\x00\x00\x00\x18server_version\x0015.0\x00S\x00\x00\x00\x19server_encoding\x00UTF8\x00S\x00\x00\x00\x19client_encoding\x00UTF8\x00S\x00\x00\x00#standard_conforming_strings\x00on\x00K\x00\x00\x00\f\x00\x00\x00\x00\x00\x00\x00\x00Z\x00\x00\x00\x05I" +
	"T\x00\x00\x00\x1d\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00D\x00\x00\x00\r\x00\x01\x00\x00\x00\x03abcC\x00\x00\x00\rSELECT 1\x00Z\x00\x00\x00\x05I" +
	"E\x00\x00\x00;SERROR\x00VERROR\x00C53300\x00Mnot now; nothing was done\x00D1501\x00\x00Z\x00\x00\x00\x05I" +
	"E\x00\x00\x00.SERROR\x00VERROR\x00C58000\x00Mthe command failed\x00\x00Z\x00\x00\x00\x05I" +
	"E\x00\x00\x00&SERROR\x00VERROR\x00C22023\x00Mc: unknown\x00\x00Z\x00\x00\x00\x05I" +
	"E\x00\x00\x00&SERROR\x00VERROR\x00C22023\x00Mt: unknown\x00\x00Z\x00\x00\x00\x05I" +
	"E\x00\x00\x00DSERROR\x00VERROR\x00C0A000\x00Mstatement: only one a query is supported\x00\x00Z\x00\x00\x00\x05I" +
	"E\x00\x00\x00FSERROR\x00VERROR\x00C22023\x00Mcomment: the query does not begin with one\x00\x00Z\x00\x00\x00\x05I" +
	"I\x00\x00\x00\x04Z\x00\x00\x00\x05I" +
	"E\x00\x00\x00=SERROR\x00VERROR\x00C0A000\x00Monly simple queries are supported\x00\x00Z\x00\x00\x00\x05I" +
	"Z\x00\x00\x00\x05I" +
	"E\x00\x00\x009SFATAL\x00VFATAL\x00C08P01\x00Minvalid frontend message type\x00\x00"

// TestWireFormat guards against unintended changes of the bytes on the wire. A client sends one message of each kind: a
// command that is answered, one that is rejected with a retry time, one that fails, invalid queries, an empty one and
// an unexpected message. The bytes that it receives must equal the recorded ones.
func TestWireFormat(t *testing.T) {
	start := time.Now()
	now := func() int64 { return time.Since(start).Microseconds() + 1 }
	server := New(now, scriptedHandler{}, Config{GroupNumbers: map[string]int{"look": 0}, TenantNumbers: map[string]int{"acme": 0}, MaxConnections: 32,
		MemoryLimit: 32 << 20})
	c, err := net.Dial("tcp", serveOnLoopback(t, server))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	messages := pgwire.AppendStartup(nil, pgwire.User, pgwire.Database)
	for _, statement := range []string{
		"/* id=answer,c=look,t=acme,d=900,cluster=0 */ SELECT '1'",
		"/* id=throttle,c=look,t=acme,d=900,cluster=0 */ SELECT '1'",
		"/* id=fail,c=look,d=900,cluster=0 */ SELECT '1'",
		"/* id=1,c=none,d=900,cluster=0 */ SELECT '1'",
		"/* id=1,c=look,t=none,d=900,cluster=0 */ SELECT '1'",
		"/* id=1,c=look,d=900,cluster=0 */ SELECT 1; SELECT 2",
		"SELECT 1",
		" ; ",
	} {
		messages = pgwire.AppendQuery(messages, statement)
	}
	messages = append(messages, "P\x00\x00\x00\x08\x00\x00\x00\x00S\x00\x00\x00\x04?\x00\x00\x00\x04"...)
	if _, err := c.Write(messages); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if at := bytes.Index(got, []byte("K\x00\x00\x00\x0c")); at >= 0 && len(got) >= at+13 {
		clear(got[at+5 : at+13])
	}
	if string(got) != wireBytes {
		t.Errorf("received %q\nrecorded %q", got, wireBytes)
	}
}
