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

// configTemplate is a platform configuration with placeholders for the listen address and the address of discovery.
const configTemplate = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
	"limits":{"cores":1,"memory_mb":192,"sockets":1024},
	"settings":{"az":"a","siblings":1,"round":5,
	"classes":[{"name":"put","effect":"unsafe","aim":400,"hardLimit":1000,"points":1}],
	"domain":{"readLevel":["write"]},"limits":{"maxAttempts":8,"cancel":true,"connectTimeout":250,"connIdle":15000}}}`

// writeConfig writes text to a file and sets RELAY_CONFIG to its path.
func writeConfig(t *testing.T, text string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RELAY_CONFIG", path)
}

// endpointJSON returns the entry of a node in an endpoint list. All nodes are primaries of shard 3.
func endpointJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":3,"status":%q,"role":"primary","since_ms":0}`,
		name, address, status)
}

// startRouter starts a router whose configuration has the given known endpoints, with agent as its discovery.
func startRouter(t *testing.T, known string, agent http.HandlerFunc) (listen string, ended chan error) {
	t.Helper()
	discovery := httptest.NewServer(agent)
	t.Cleanup(discovery.Close)
	listen = freeAddress(t)
	writeConfig(t, strings.Replace(fmt.Sprintf(configTemplate, listen, strings.TrimPrefix(discovery.URL, "http://")),
		`"settings"`, `"known":{"index":7,"snapshot":true,"endpoints":[`+known+`]},"settings"`, 1))
	return listen, runInBackground("")
}

// runInBackground starts a router with an operator's file, "" for none. The result of Run is sent to the channel.
func runInBackground(operatorFile string) (ended chan error) {
	ended = make(chan error, 1)
	go func() { ended <- Run(operatorFile, TestHooks{}) }()
	return ended
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// client is a connection to the router that returns the raw answer to each query.
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
	connected := &client{c, bufio.NewReader(c), ""}
	c.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database))
	connected.welcome = connected.answer(t)
	return connected
}

// answer reads an answer, up to and including ReadyForQuery.
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

// waitReady waits until the router accepts commands.
func (c *client) waitReady(t *testing.T) {
	t.Helper()
	for c.ask(t, "")[0] != 'I' {
		time.Sleep(time.Millisecond)
	}
}

// signalSelf sends a signal to the test's own process, in which the router runs.
func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// reloadUntilCounted sends SIGHUP and waits until the counter has changed.
func reloadUntilCounted(t *testing.T, counter *metrics.Counter) {
	t.Helper()
	before := counter.Count()
	signalSelf(t, syscall.SIGHUP)
	for counter.Count() == before {
		time.Sleep(time.Millisecond)
	}
}

// stopRouter sends SIGTERM and waits until the router has shut down.
func stopRouter(t *testing.T, ended chan error) {
	t.Helper()
	signalSelf(t, syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
