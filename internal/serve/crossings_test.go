package serve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// endpointJSON is one node as discovery's list names it, the first of a group as its primary.
func endpointJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":3,"status":%q,"role":"primary","since_ms":0}`,
		name, address, status)
}

// startRouter runs a router with a list that it knows, and an agent of discovery's.
func startRouter(t *testing.T, known string, agent http.HandlerFunc) (listen string, ended chan error) {
	t.Helper()
	discovery := httptest.NewServer(agent)
	t.Cleanup(discovery.Close)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen = free.Addr().String()
	free.Close()
	writeConfig(t, strings.Replace(fmt.Sprintf(configTemplate, listen, strings.TrimPrefix(discovery.URL, "http://")),
		`"settings"`, `"known":{"index":7,"snapshot":true,"endpoints":[`+known+`]},"settings"`, 1))
	ended = make(chan error, 1)
	go func() { ended <- Run("", TestHooks{}) }()
	return listen, ended
}

// client is one connection to the router, which says what comes back for each query.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dialRouter(t *testing.T, listen string) *client {
	t.Helper()
	c, err := net.Dial("tcp", listen)
	for ; err != nil; c, err = net.Dial("tcp", listen) {
		time.Sleep(time.Millisecond) // it is not listening yet
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	one := &client{c, bufio.NewReader(c)}
	c.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database))
	one.answer(t)
	return one
}

func (c *client) answer(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for !strings.HasSuffix(all.String(), scriptedserver.Ready) {
		b, err := c.in.ReadByte()
		if err != nil {
			t.Fatal(err)
		}
		all.WriteByte(b)
	}
	return all.String()
}

func (c *client) ask(t *testing.T, statement string) string {
	t.Helper()
	c.Write(pgwire.AppendQuery(nil, statement))
	return c.answer(t)
}

func (c *client) waitReady(t *testing.T) {
	t.Helper()
	for c.ask(t, "")[0] != 'I' {
		time.Sleep(time.Millisecond)
	}
}

func stopRouter(t *testing.T, ended chan error) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestTheAgentsListComesFirst: a new process knows an older list in which a node may be used that drains by now. What
// its agent has counts as told from its first moment, so it waits for that before it takes a command.
func TestTheAgentsListComesFirst(t *testing.T) {
	old, next := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready), scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready)
	speak := make(chan bool)
	listen, ended := startRouter(t, endpointJSON("old", old.Addr, "active"), func(w http.ResponseWriter, r *http.Request) {
		<-speak
		if r.URL.RawQuery == "" {
			fmt.Fprintf(w, `{"index":9,"snapshot":true,"endpoints":[%s,%s]}`, endpointJSON("old", old.Addr, "leaving"), endpointJSON("next", next.Addr, "active"))
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	c := dialRouter(t, listen)
	if got := c.ask(t, "/* id=1,c=put,d=900,cluster=3 */ INSERT"); !strings.Contains(got, "C57P03") {
		t.Errorf("before its agent spoke: %q", got)
	}
	close(speak)
	c.waitReady(t)
	if got := c.ask(t, "/* id=2,c=put,d=900,cluster=3 */ INSERT"); got != scriptedserver.Row+scriptedserver.Ready {
		t.Errorf("then: %q", got)
	}
	if len(old.Queries) > 0 || len(next.Queries) != 1 {
		t.Errorf("%d to the one that drains, %d to the other", len(old.Queries), len(next.Queries))
	}
	c.Close()
	stopRouter(t, ended)
}

// TestReadyWhileDiscoveryIsDown: with an agent that says nothing the list from the file serves, soon.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	node := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready)
	listen, ended := startRouter(t, endpointJSON("n", node.Addr, "active"), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	began := time.Now()
	c := dialRouter(t, listen)
	c.waitReady(t)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("ready after %v", took)
	}
	if got := c.ask(t, "/* id=2,c=put,d=900,cluster=3 */ INSERT"); got != scriptedserver.Row+scriptedserver.Ready {
		t.Errorf("then: %q", got)
	}
	c.Close()
	stopRouter(t, ended)
}

// TestAStopEnds: all that is owed is owed by a node that hangs, until a client timeout that lies far behind SIGKILL. It
// is answered before that, and the process ends; a second SIGTERM changes nothing.
func TestAStopEnds(t *testing.T) {
	node := scriptedserver.Start(t, scriptedserver.Welcome, "")
	listen, ended := startRouter(t, endpointJSON("n", node.Addr, "active"), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	c, rests := dialRouter(t, listen), dialRouter(t, listen)
	c.waitReady(t)
	c.Write(pgwire.AppendQuery(nil, "/* id=1,c=put,d=60000,cluster=3 */ INSERT"))
	<-node.Queries
	began := time.Now()
	for range 2 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	if got := c.answer(t); !strings.Contains(got, "C58000") {
		t.Errorf("what may have run: %q", got)
	}
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		t.Errorf("at the end: %q, %v", rest, err)
	}
	if rest, err := io.ReadAll(rests.in); err != nil || len(rest) > 0 {
		t.Errorf("a resting connection: %q, %v", rest, err)
	}
	c.Close()
	rests.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > maxKillDelay+killGrace { // a busy machine's share on top of 1.45 s; the command's own time is a minute
		t.Errorf("it ended %v after SIGTERM, when it may have been killed", took)
	}
}

// TestStoppedBeforeReady: nobody has told it a list, and it leaves all the same.
func TestStoppedBeforeReady(t *testing.T) {
	listen, ended := startRouter(t, "", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	dialRouter(t, listen).Close()
	stopRouter(t, ended)
}

// TestAReloadDuringAHandOver: the lead has passed on, as the new primary's own answer told, and a reload leads to a
// discovery whose older list marks the former one: the answer counts, and nothing is asked of that one.
func TestAReloadDuringAHandOver(t *testing.T) {
	miss := scriptedserver.Status("role", "replica") + scriptedserver.Failure(pgwire.CodeNoPrimary) + scriptedserver.Ready
	row := scriptedserver.Status("role", "primary") + scriptedserver.Row + scriptedserver.Ready
	was, leads := scriptedserver.Start(t, scriptedserver.Welcome, miss, miss, miss, miss), scriptedserver.Start(t, scriptedserver.Welcome, row, row)
	list := func(index int, taken chan bool, first, second string) http.HandlerFunc {
		replica := strings.Replace(second, `"primary"`, `"replica"`, 1)
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery == "" {
				fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[%s,%s]}`, index, first, replica)
				return
			}
			select {
			case taken <- true: // it follows what it has taken in
			default:
			}
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
	a, b, taken := endpointJSON("was", was.Addr, "active"), endpointJSON("leads", leads.Addr, "active"), make(chan bool, 9)
	listen, ended := startRouter(t, "", list(9, make(chan bool), b, a))
	c := dialRouter(t, listen)
	c.waitReady(t)
	if got := c.ask(t, "/* id=1,c=put,d=900,cluster=3 */ INSERT"); !strings.HasSuffix(got, scriptedserver.Row+scriptedserver.Ready) {
		t.Errorf("at the hand-over: %q", got)
	}
	next := httptest.NewServer(list(3, taken, a, b))
	t.Cleanup(next.Close)
	if err := os.WriteFile(os.Getenv("RELAY_CONFIG"), fmt.Appendf(nil, configTemplate, listen, strings.TrimPrefix(next.URL, "http://")), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-taken
	if got := c.ask(t, "/* id=2,c=put,d=900,cluster=3 */ INSERT"); !strings.HasSuffix(got, scriptedserver.Row+scriptedserver.Ready) {
		t.Errorf("behind the reload: %q", got)
	}
	if n := len(was.Queries); n > 0 {
		t.Errorf("the former primary was asked %d times", n)
	}
	c.Close()
	stopRouter(t, ended)
}
