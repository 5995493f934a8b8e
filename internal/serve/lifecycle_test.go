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

// TestDiscoveryListPrecedesKnownList checks that a router rejects commands until its discovery agent has sent a list. The
// list in its configuration is older, and a node that is active in it may be draining by now. The router is expected to
// know from its start what the agent knows.
func TestDiscoveryListPrecedesKnownList(t *testing.T) {
	old, next := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready), scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready)
	sendList := make(chan bool)
	listen, ended := startRouter(t, endpointJSON("old", old.Addr, "active"), func(w http.ResponseWriter, r *http.Request) {
		<-sendList
		if r.URL.RawQuery == "" {
			fmt.Fprintf(w, `{"index":9,"snapshot":true,"endpoints":[%s,%s]}`, endpointJSON("old", old.Addr, "leaving"), endpointJSON("next", next.Addr, "active"))
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	c := dialRouter(t, listen)
	if got := c.ask(t, "/* id=1,c=put,d=900,cluster=3 */ INSERT"); !strings.Contains(got, "C57P03") {
		t.Errorf("answer before the agent sent a list: %q", got)
	}
	close(sendList)
	c.waitReady(t)
	if got := c.ask(t, "/* id=2,c=put,d=900,cluster=3 */ INSERT"); got != scriptedserver.Row+scriptedserver.Ready {
		t.Errorf("answer after the agent sent a list: %q", got)
	}
	if len(old.Queries) > 0 || len(next.Queries) != 1 {
		t.Errorf("%d commands at the draining node, %d at the active one; want 0 and 1", len(old.Queries), len(next.Queries))
	}
	c.Close()
	stopRouter(t, ended)
}

// TestReadyWhileDiscoveryIsDown checks that a router uses the list in its configuration within seconds if its discovery
// agent sends nothing.
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
		t.Errorf("answer once ready: %q", got)
	}
	c.Close()
	stopRouter(t, ended)
}

// TestShutdownWithHungNode checks that a command on a hung node, whose client timeout ends long after SIGKILL, is answered
// and the process ends before SIGKILL. A second SIGTERM has no effect.
func TestShutdownWithHungNode(t *testing.T) {
	node := scriptedserver.Start(t, scriptedserver.Welcome, "")
	listen, ended := startRouter(t, endpointJSON("n", node.Addr, "active"), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	c, idle := dialRouter(t, listen), dialRouter(t, listen)
	c.waitReady(t)
	c.Write(pgwire.AppendQuery(nil, "/* id=1,c=put,d=60000,cluster=3 */ INSERT"))
	<-node.Queries
	began := time.Now()
	for range 2 {
		signalSelf(t, syscall.SIGTERM)
	}
	if got := c.answer(t); !strings.Contains(got, "C58000") {
		t.Errorf("answer to a command that may have run: %q", got)
	}
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		t.Errorf("after the last answer: %q, %v", rest, err)
	}
	if rest, err := io.ReadAll(idle.in); err != nil || len(rest) > 0 {
		t.Errorf("on an idle connection: %q, %v", rest, err)
	}
	c.Close()
	idle.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > maxKillDelay+killGrace { // it takes 1.45 s, longer on a busy machine; the command's client timeout is a minute
		t.Errorf("the process ended %v after SIGTERM, later than SIGKILL", took)
	}
}

// TestShutdownBeforeReady checks that a router without any endpoint list shuts down on SIGTERM.
func TestShutdownBeforeReady(t *testing.T) {
	listen, ended := startRouter(t, "", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	dialRouter(t, listen).Close()
	stopRouter(t, ended)
}

// TestReloadDuringFailover checks that a node's own report that it is the primary outweighs an older list. After a
// failover, a reload moves the router to a discovery whose older list still marks the former primary. The former primary
// must get no commands.
func TestReloadDuringFailover(t *testing.T) {
	miss := scriptedserver.Status("role", "replica") + scriptedserver.Failure(pgwire.CodeNoPrimary) + scriptedserver.Ready
	row := scriptedserver.Status("role", "primary") + scriptedserver.Row + scriptedserver.Ready
	formerPrimary, newPrimary := scriptedserver.Start(t, scriptedserver.Welcome, miss, miss, miss, miss), scriptedserver.Start(t, scriptedserver.Welcome, row, row)
	list := func(index int, taken chan bool, first, second string) http.HandlerFunc {
		replica := strings.Replace(second, `"primary"`, `"replica"`, 1)
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery == "" {
				fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[%s,%s]}`, index, first, replica)
				return
			}
			select {
			case taken <- true: // the router requests updates to a list that it has received
			default:
			}
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
	a, b, taken := endpointJSON("formerPrimary", formerPrimary.Addr, "active"), endpointJSON("newPrimary", newPrimary.Addr, "active"), make(chan bool, 9)
	listen, ended := startRouter(t, "", list(9, make(chan bool), b, a))
	c := dialRouter(t, listen)
	c.waitReady(t)
	if got := c.ask(t, "/* id=1,c=put,d=900,cluster=3 */ INSERT"); !strings.HasSuffix(got, scriptedserver.Row+scriptedserver.Ready) {
		t.Errorf("answer after the failover: %q", got)
	}
	next := httptest.NewServer(list(3, taken, a, b))
	t.Cleanup(next.Close)
	if err := os.WriteFile(os.Getenv("RELAY_CONFIG"), fmt.Appendf(nil, configTemplate, listen, strings.TrimPrefix(next.URL, "http://")), 0o600); err != nil {
		t.Fatal(err)
	}
	signalSelf(t, syscall.SIGHUP)
	<-taken
	if got := c.ask(t, "/* id=2,c=put,d=900,cluster=3 */ INSERT"); !strings.HasSuffix(got, scriptedserver.Row+scriptedserver.Ready) {
		t.Errorf("answer after the reload: %q", got)
	}
	if n := len(formerPrimary.Queries); n > 0 {
		t.Errorf("the former primary got %d commands", n)
	}
	c.Close()
	stopRouter(t, ended)
}
