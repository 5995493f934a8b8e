package serve

import (
	"fmt"
	"io"
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
		signalSelf(t, syscall.SIGTERM)
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
	signalSelf(t, syscall.SIGHUP)
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
