package engine_test

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"cairntiller/internal/backend"
	"cairntiller/internal/discovery"
	"cairntiller/internal/engine"
	"cairntiller/internal/frontend"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/settings"
	"cairntiller/internal/stream"
	"cairntiller/internal/testcluster/scriptedserver"
)

// testRouter is a router without discovery that is connected to scripted nodes; the first node is the primary.
type testRouter struct {
	addr     string
	engine   *engine.Engine
	frontend *frontend.Server
}

// startRouter runs a router that accepts at most maxConnections clients, whose sessions carry the time of their last commit.
func startRouter(t *testing.T, maxConnections int, nodes ...*scriptedserver.Node) *testRouter {
	t.Helper()
	return startRouterWithTokens(t, "carried", maxConnections, nodes...)
}

// startRouterWithTokens is startRouter with the given setting for where the sessions' tokens are kept.
func startRouterWithTokens(t *testing.T, writeMarks string, maxConnections int, nodes ...*scriptedserver.Node) *testRouter {
	t.Helper()
	now := engine.NewClock()
	e := engine.New(now)
	r := routing.New(7, e.Actions())
	config, catalog, err := settings.Values{"az": "a", "siblings": "1", "round": "5", "classes.count": "3", "classes.0.name": "look",
		"classes.0.effect": "safe", "classes.0.aim": "400", "classes.0.hardLimit": "1000", "classes.0.points": "1",
		"classes.1.name": "put", "classes.1.effect": "unsafe", "classes.1.aim": "400", "classes.1.hardLimit": "1000",
		"classes.1.points": "1", "classes.2.name": "own", "classes.2.effect": "safe", "classes.2.aim": "400", "classes.2.hardLimit": "1000",
		"classes.2.points": "1", "domain.readLevel": "any,write,session", "domain.writeMarks": writeMarks, "limits.maxAttempts": "3", "limits.cancel": "true",
		"tenants.count": "1", "tenants.0.name": "acme", "tenants.0.quotaPerS": "100"}.RoutingConfig(0)
	if err != nil {
		t.Fatal(err)
	}
	r.Configure(config)
	pool := backend.New(now, e.Post, e.After, e, backend.Config{ConnectTimeout: 250_000, IdleLimit: 15_000_000, MaxConnections: 99})
	e.Attach(r, pool)
	front := frontend.New(now, e, frontend.Config{GroupNumbers: catalog.GroupNumbers, TenantNumbers: catalog.TenantNumbers, MaxConnections: maxConnections,
		MemoryLimit: 32 << 20})
	ln, err := stream.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	list := &discovery.EndpointList{Version: 1, Complete: true}
	for i, s := range nodes {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: fmt.Sprint("n", i), Address: s.Addr, Zone: "a",
			Kind: "m", Primary: i == 0})
	}
	e.Post(now(), r.Start)
	e.Post(now(), func(now int64) {
		e.ApplyEndpointList(now, list)
		front.SetReady()
	})
	go e.Run()
	go front.Serve(ln)
	t.Cleanup(e.Stop)
	return &testRouter{ln.Addr().String(), e, front}
}

// dial opens a client connection once the router is ready.
func (r *testRouter) dial(t *testing.T) net.Conn {
	t.Helper()
	for {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), ""))
		readUntil(t, c, 'Z')
		if got := readUntil(t, c, 'Z'); got[0] == 'I' {
			return c
		}
		c.Close() // the router is still starting up
	}
}

// readUntil reads messages up to the first one of the given type, or up to the end of the connection, which adds "end".
// It returns them concatenated.
func readUntil(t *testing.T, c net.Conn, last byte) (all []byte) {
	t.Helper()
	for {
		f, err := scriptedserver.ReadFrame(c, true)
		if err != nil {
			return append(all, "end"...)
		}
		if all = append(all, f...); f[0] == last {
			return all
		}
	}
}

// summary describes an answer: "row" for the expected row, the SQLSTATE for an error, and otherwise the bytes.
func summary(p []byte) string {
	if i := bytes.Index(p, []byte("\x00C")); i >= 0 && p[0] == 'E' {
		return string(p[i+2 : i+7])
	}
	if string(p) == scriptedserver.Row+scriptedserver.Ready {
		return "row"
	}
	return string(p)
}

// sendCommand sends a command of the given group with a client timeout in ms.
func sendCommand(c net.Conn, id, group, timeoutMillis string) {
	c.Write(pgwire.AppendQuery(nil, "/* id="+id+",c="+group+",t=acme,d="+timeoutMillis+",cluster=0 */ SELECT '"+id+"'"))
}
