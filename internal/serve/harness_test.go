package serve

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// configTemplate is a configuration with addresses to listen on and of discovery.
const configTemplate = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
	"limits":{"cores":1,"memory_mb":192,"sockets":1024},
	"settings":{"az":"a","siblings":1,"round":5,
	"classes":[{"name":"put","effect":"unsafe","aim":400,"hardLimit":1000,"points":1}],
	"domain":{"readLevel":["write"]},"limits":{"maxAttempts":8,"cancel":true,"connectTimeout":250,"connIdle":15000}}}`

// writeConfig makes a text the platform's configuration file.
func writeConfig(t *testing.T, text string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RELAY_CONFIG", path)
}

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
	listen = freeAddress(t)
	writeConfig(t, strings.Replace(fmt.Sprintf(configTemplate, listen, strings.TrimPrefix(discovery.URL, "http://")),
		`"settings"`, `"known":{"index":7,"snapshot":true,"endpoints":[`+known+`]},"settings"`, 1))
	return listen, runInBackground("")
}

// runInBackground runs a router with an operator's file, "" for none.
func runInBackground(operatorFile string) (ended chan error) {
	ended = make(chan error, 1)
	go func() { ended <- Run(operatorFile, TestHooks{}) }()
	return ended
}

// freeAddress is an address on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// client is one connection to the router, which says what comes back for each query.
type client struct {
	net.Conn
	in      *bufio.Reader
	welcome string
}

// dialRouter connects once the router listens, and completes the startup.
func dialRouter(t *testing.T, listen string) *client {
	t.Helper()
	c, err := net.Dial("tcp", listen)
	for ; err != nil; c, err = net.Dial("tcp", listen) {
		time.Sleep(time.Millisecond) // it is not listening yet
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	one := &client{c, bufio.NewReader(c), ""}
	c.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database))
	one.welcome = one.answer(t)
	return one
}

// answer reads up to ReadyForQuery.
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

// ask sends a query and returns its answer.
func (c *client) ask(t *testing.T, statement string) string {
	t.Helper()
	c.Write(pgwire.AppendQuery(nil, statement))
	return c.answer(t)
}

// waitReady returns once the router takes commands.
func (c *client) waitReady(t *testing.T) {
	t.Helper()
	for c.ask(t, "")[0] != 'I' {
		time.Sleep(time.Millisecond)
	}
}

// signalSelf sends a signal to the process, which is the router's.
func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// reloadUntilCounted has the router reload, and returns once a counter tells that it did.
func reloadUntilCounted(t *testing.T, counter *metrics.Counter) {
	t.Helper()
	before := counter.Count()
	signalSelf(t, syscall.SIGHUP)
	for counter.Count() == before {
		time.Sleep(time.Millisecond)
	}
}

// stopRouter has the router end, and waits for it.
func stopRouter(t *testing.T, ended chan error) {
	t.Helper()
	signalSelf(t, syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
