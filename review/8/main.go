//go:build review

// Command 8 plays a write whose connection is reset between its row and its position, and a read of its session.
package main

import (
	"fmt"
	"io"
	"sync"
	"time"

	"cairntiller/review/standins"
)

const (
	lag       = 230 * time.Millisecond // of the replica
	reportAge = 310 * time.Millisecond // of a load report; period_ms and delay_ms of the site have 318 in all at most
	known     = 150 * time.Millisecond // what an answer tells counts as known after 100 ms, and 50 ms on sockets
	think     = known + 20*time.Millisecond
	rounds    = 10
	key       = "7f3a9c21e0b4d655"
)

// write is a committed write.
type write struct {
	at    time.Time
	value string
}

// group is a primary and a replica with one log.
type group struct {
	c       *standins.Case
	primary *standins.Node

	mu  sync.Mutex
	log []write
}

func (g *group) answer(q *standins.Query) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary := q.Node == g.primary
	now := time.Now()
	if q.Write {
		if !primary {
			return standins.Failure("25006") + standins.NodeStatus(false, now.Add(-lag)) + standins.Ready
		}
		at := now.Truncate(time.Millisecond).Add(time.Millisecond) // commits are rounded up
		g.log = append(g.log, write{at, q.Value})
		row := standins.Row(q.Value, "INSERT 0 1")
		if g.c.Trouble {
			g.c.Log(q.Node.Name, "write %s of %s committed; sends the row and a load report, then the connection is reset", q.Fields["id"], q.Value)
			io.WriteString(q.Conn, row+standins.Load(true, now.Add(-reportAge)))
			time.Sleep(5 * time.Millisecond)
			standins.Reset(q.Conn)
			return ""
		}
		g.c.Log(q.Node.Name, "write %s of %s committed", q.Fields["id"], q.Value)
		return row + standins.Load(true, now.Add(-reportAge)) + standins.Role(true) + standins.Position(at) + standins.Ready
	}
	position := now
	if !primary {
		position = now.Add(-lag)
	}
	value := "none"
	for _, entry := range g.log {
		if !entry.at.After(position) {
			value = entry.value
		}
	}
	g.c.Log(q.Node.Name, "read %s answered %s, position %d ms ago", q.Fields["id"], value, now.Sub(position).Milliseconds())
	return standins.Row(value, "SELECT 1") + standins.NodeStatus(primary, position) + standins.Ready
}

func main() { standins.Run("8", play) }

func play(c *standins.Case) error {
	g := &group{c: c}
	var entries []standins.Entry
	for i, role := range []string{"primary", "replica"} {
		n := &standins.Node{Name: fmt.Sprintf("s-%d", i+1), Answer: g.answer}
		primary := i == 0
		if primary {
			g.primary = n
		}
		n.Load = func() string {
			position := time.Now()
			if !primary {
				position = position.Add(-lag)
			}
			return standins.LoadRow(primary, position)
		}
		if err := n.Listen(); err != nil {
			return err
		}
		entries = append(entries, standins.Entry{Name: n.Name, Address: n.Address, Zone: "a", Type: "std-3c", Group: 3, Status: "active", Weight: 1, Role: role})
	}
	discovery, err := standins.StartDiscovery(entries...)
	if err != nil {
		return err
	}
	classes := []standins.Object{
		{"name": "board-view", "effect": "safe", "group": "all", "aim": 500, "hardLimit": 2000, "lateValue": 0, "points": 3, "window": 5000},
		{"name": "own-entries", "effect": "safe", "group": "all", "aim": 400, "hardLimit": 1000, "lateValue": 0.2, "points": 3, "window": 5000},
		{"name": "entry-post", "effect": "unsafe", "group": "all", "aim": 750, "hardLimit": 5000, "lateValue": 0.5, "points": 3, "window": 5000},
	}
	settings := standins.Settings(1, classes, []string{"bounded", "session", "write"}, []float64{3000, 0, 0})
	settings["domain"].(standins.Object)["writeMarks"] = "remembered"
	router, err := c.StartRouter("n0", "", discovery.Address, discovery.List(), settings)
	if err != nil {
		return err
	}
	client, err := standins.Dial(router.Address)
	if err != nil {
		return err
	}
	defer client.Close()
	return g.run(client)
}

// run writes and reads in turn. Each read comes after the answer to the write before it.
func (g *group) run(client *standins.Client) error {
	for round := range rounds {
		time.Sleep(time.Second)
		for i := range 3 { // other clients' reads, which show the replica's position
			if _, err := client.Ask(fmt.Sprintf("/* id=view-%d-%d,c=board-view,d=2000,cluster=3 */ SELECT data FROM facts WHERE code = '0000000000000000'", round, i), 3*time.Second); err != nil {
				return err
			}
		}
		id, value := fmt.Sprintf("post-%d", round), fmt.Sprintf("entry-%d", round)
		got, err := client.Ask(fmt.Sprintf("/* id=%s,c=entry-post,d=5000,cluster=3 */ INSERT INTO facts (code, data) VALUES ('%s', '%s') RETURNING data", id, key, value), 6*time.Second)
		if err != nil {
			return err
		}
		g.c.Log("client", "write %s: value %q, code %q", id, got.Value, got.Code)
		if got.Code != "" {
			continue // it was not acknowledged
		}
		time.Sleep(think)
		id = fmt.Sprintf("own-%d", round)
		got, err = client.Ask(fmt.Sprintf("/* id=%s,c=own-entries,d=1000,cluster=3 */ SELECT data FROM facts WHERE code = '%s'", id, key), 3*time.Second)
		if err != nil {
			return err
		}
		g.c.Log("client", "read %s: value %q, code %q", id, got.Value, got.Code)
		if got.Code == "" && got.Value != value {
			g.c.Broken("read %s got %s after the session's write of %s was answered", id, got.Value, value)
		}
	}
	return nil
}
