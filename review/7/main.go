//go:build review

// Command 7 plays reads that wait for a connection to a node while an answer tells that it is the primary no longer.
package main

import (
	"fmt"
	"sync"
	"time"

	"cairntiller/review/standins"
)

const (
	bound        = 100 * time.Millisecond // what an answer tells counts as known so long after it was written
	slack        = 50 * time.Millisecond  // each time limit is so much longer on sockets
	work         = 100 * time.Millisecond // of a read; the site has 69 to 120 ms
	lag          = 1500 * time.Millisecond
	handshake    = 8 * time.Millisecond    // of any other connection: handshake_us and up to three round trips
	lateness     = time.Second             // of a connection that comes up late; 1.5 s at most
	failover     = 2300 * time.Millisecond // detect_s and elect_s of the site at their least
	roleLag      = 4 * time.Second         // the list shows the change so late; role_lag_s and notice_s have 4.6 and 4.2 s at most
	sessions     = 3                       // that roam
	warmParallel = 3                       // commands at once before the disruption
)

// write is a committed write of a key.
type write struct {
	at    time.Time
	value string
}

// world is what the nodes share: the log, and who is the primary.
type world struct {
	c *standins.Case

	mu       sync.Mutex
	first    *standins.Node // the primary of the beginning
	second   *standins.Node
	primary  *standins.Node // nil while there is none
	log      map[string][]write
	standsAt time.Time // the position of the first primary since it died
	died     bool
	lateFrom int               // connections to it are late from this number on, 0 for none
	late     int               // connections that came up late
	aTells   bool              // the first router has the commands from here on
	stale    map[string]string // by id, the reads whose answers are too old and not excused
	told     time.Time         // when the former primary first wrote to that router that it is none
}

// position returns the position of a node. The caller holds the lock.
func (w *world) position(n *standins.Node) time.Time {
	switch {
	case n == w.primary:
		return time.Now()
	case n == w.first:
		return w.standsAt
	case w.died:
		return w.standsAt.Add(-lag)
	}
	return time.Now().Add(-lag)
}

func (w *world) delay(n *standins.Node, connection int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n == w.first && w.lateFrom > 0 && connection >= w.lateFrom {
		w.late++
		w.c.Log(n.Name, "connection %d comes up %v late", connection, lateness)
		return lateness
	}
	return handshake
}

// answer runs a query. A read sees what its node has when it starts.
func (w *world) answer(q *standins.Query) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := q.Node
	if q.Write {
		if n != w.primary {
			w.tell(n)
			w.c.Log(n.Name, "connection %d: write %s answered 25006, role replica", q.Connection, q.Fields["id"])
			return standins.Failure("25006") + standins.NodeStatus(false, w.position(n)) + standins.Ready
		}
		at := time.Now().Truncate(time.Millisecond).Add(time.Millisecond) // commits are rounded up
		w.log[q.Key] = append(w.log[q.Key], write{at, q.Value})
		w.c.Log(n.Name, "write %s of %s=%s committed", q.Fields["id"], q.Key, q.Value)
		return standins.Row(q.Value, "INSERT 0 1") + standins.NodeStatus(true, at) + standins.Ready
	}
	position := w.position(n)
	value := "none"
	missed := ""
	for _, entry := range w.log[q.Key] {
		if entry.at.After(position) {
			missed = entry.value
		} else {
			value = entry.value
		}
	}
	sent := "before it told that it is none"
	unexcused := false
	if n == w.first && !w.told.IsZero() {
		since := q.At.Sub(w.told)
		sent = fmt.Sprintf("%d ms after it told that it is none", since.Milliseconds())
		unexcused = since > bound+slack
	}
	w.mu.Unlock()
	time.Sleep(work)
	w.mu.Lock()
	isPrimary := n == w.primary
	if q.Fields["c"] == "own-entries" {
		w.c.Log(n.Name, "connection %d: read %s of %s answered %s, primary %v, arrived %s", q.Connection, q.Fields["id"], q.Key, value, isPrimary, sent)
		if missed != "" && unexcused {
			w.stale[q.Fields["id"]] = fmt.Sprintf("%s in place of %s; the read reached %s %s", value, missed, n.Name, sent)
		}
	}
	if !isPrimary {
		w.tell(n)
	}
	return standins.Row(value, "SELECT 1") + standins.NodeStatus(isPrimary, w.position(n)) + standins.Ready
}

// tell records that the former primary tells a router that it is none. The caller holds the lock.
func (w *world) tell(n *standins.Node) {
	if n == w.first && w.died && w.aTells && w.told.IsZero() {
		w.told = time.Now()
	}
}

func (w *world) node(name string) (*standins.Node, error) {
	n := &standins.Node{Name: name, Answer: w.answer}
	n.Delay = func(connection int) time.Duration { return w.delay(n, connection) }
	n.Load = func() string {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.c.Log(name, "SHOW load")
		return standins.LoadRow(n == w.primary, w.position(n))
	}
	return n, n.Listen()
}

func entry(n *standins.Node, role string, since int64) standins.Entry {
	return standins.Entry{Name: n.Name, Address: n.Address, Zone: "a", Type: "std-3c", Group: 3, Status: "active", Weight: 1, Since: since, Role: role}
}

func settings() standins.Object {
	classes := []standins.Object{
		{"name": "board-view", "effect": "safe", "group": "all", "aim": 500, "hardLimit": 2000, "lateValue": 0, "points": 3, "window": 5000},
		{"name": "own-entries", "effect": "safe", "group": "all", "aim": 400, "hardLimit": 1000, "lateValue": 0.2, "points": 3, "window": 5000},
		{"name": "entry-post", "effect": "unsafe", "group": "all", "aim": 750, "hardLimit": 5000, "lateValue": 0.5, "points": 3, "window": 5000},
	}
	return standins.Settings(2, classes, []string{"bounded", "session", "write"}, []float64{3000, 0, 0})
}

// insert is a write of a session, view a bounded read, and own a session's read that must see its last commit.
func insert(id, key, value string) string {
	return fmt.Sprintf("/* id=%s,c=entry-post,d=5000,cluster=3 */ INSERT INTO facts (code, data) VALUES ('%s', '%s') RETURNING data", id, key, value)
}

func view(id, key string) string {
	return fmt.Sprintf("/* id=%s,c=board-view,d=2000,cluster=3 */ SELECT data FROM facts WHERE code = '%s'", id, key)
}

func own(id, key string, after time.Time) string {
	return fmt.Sprintf("/* id=%s,c=own-entries,d=1000,cluster=3,after=%d */ SELECT data FROM facts WHERE code = '%s'", id, standins.Millis(after), key)
}

func main() { standins.Run("7", play) }

func play(c *standins.Case) error {
	w := &world{c: c, log: map[string][]write{}, stale: map[string]string{}}
	first, err := w.node("s-1")
	if err != nil {
		return err
	}
	second, err := w.node("s-2")
	if err != nil {
		return err
	}
	w.first, w.second, w.primary = first, second, first
	discovery, err := standins.StartDiscovery(entry(first, "primary", 0), entry(second, "replica", 0))
	if err != nil {
		return err
	}
	a, err := c.StartRouter("n0", "", discovery.Address, discovery.List(), settings())
	if err != nil {
		return err
	}
	b, err := c.StartRouter("n1", "", discovery.Address, discovery.List(), settings())
	if err != nil {
		return err
	}
	if err := w.warmUp(a, b); err != nil {
		return err
	}
	if c.Trouble {
		if err := w.crash(); err != nil {
			return err
		}
		time.AfterFunc(roleLag, func() {
			discovery.Change(entry(first, "replica", standins.Millis(time.Now().Add(-roleLag))), entry(second, "primary", 0))
		})
	}
	return w.burst(a, b)
}

// warmUp lets both routers see the primary, and the first one the position of the replica, and writes a first value of
// each session.
func (w *world) warmUp(routers ...*standins.Router) error {
	var wait sync.WaitGroup
	errs := make(chan error, 100)
	for _, router := range routers {
		for i := range warmParallel {
			client, err := standins.Dial(router.Address)
			if err != nil {
				return err
			}
			defer client.Close()
			wait.Go(func() {
				for round := range 4 {
					id := fmt.Sprintf("warm-%s-%d-%d", router.Name, i, round)
					if _, err := client.Ask(insert(id+"w", session(i), "v1"), 5*time.Second); err != nil {
						errs <- err
						return
					}
					if router != routers[0] {
						continue // it learns nothing of the replica, and finds the next primary sooner
					}
					if _, err := client.Ask(view(id+"r", session(i)), 5*time.Second); err != nil {
						errs <- err
						return
					}
				}
			})
		}
	}
	wait.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	return nil
}

func session(i int) string { return fmt.Sprintf("5e55%012x", i) }

// crash kills the primary. The replica takes over, and the former primary comes back behind it.
func (w *world) crash() error {
	w.mu.Lock()
	w.died = true
	w.standsAt = time.Now()
	w.primary = nil
	w.mu.Unlock()
	w.c.Log("platform", "s-1 dies")
	w.first.Kill()
	time.Sleep(failover)
	w.mu.Lock()
	w.primary = w.second
	w.lateFrom = w.first.Accepted() + 2 // the first one comes up at once, then router n1's and the late ones
	w.mu.Unlock()
	w.c.Log("platform", "s-2 is the primary; s-1 is back as a replica, and stands where it died")
	return w.first.Listen()
}

// burst lets the sessions write at one router and move to the other one, which gets a write and their reads at once.
func (w *world) burst(a, b *standins.Router) error {
	writer, err := standins.Dial(b.Address)
	if err != nil {
		return err
	}
	defer writer.Close()
	committed := make([]time.Time, sessions)
	for i := range sessions {
		if committed[i], err = w.writeUntilServed(writer, i); err != nil {
			return err
		}
	}
	w.mu.Lock()
	w.told = time.Time{}
	if w.lateFrom > 0 {
		w.lateFrom = w.first.Accepted() + 2
	}
	w.aTells = true
	w.mu.Unlock()
	clients := make([]*standins.Client, sessions+1)
	for i := range clients {
		if clients[i], err = standins.Dial(a.Address); err != nil {
			return err
		}
		defer clients[i].Close()
	}
	var wait sync.WaitGroup
	ask := func(client *standins.Client, id, text string, wait time.Duration) {
		w.c.Log("client", "sends %s", id)
		got, err := client.Ask(text, wait)
		w.c.Log("client", "%s: value %q, code %q, %v", id, got.Value, got.Code, err)
		w.mu.Lock()
		how, isStale := w.stale[id]
		w.mu.Unlock()
		if isStale && err == nil && got.Code == "" {
			w.c.Broken("%s got %s", id, how)
		}
	}
	wait.Go(func() { ask(clients[sessions], "post", insert("post", "an0ther5e5510000", "x"), 5*time.Second) })
	time.Sleep(2 * time.Millisecond) // before its connection is up
	for i := range sessions {
		id := fmt.Sprintf("own-%d", i)
		wait.Go(func() { ask(clients[i], id, own(id, session(i), committed[i]), 3*time.Second) })
	}
	wait.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.Log("case", "%d of %d connections to nodes came up late", w.late, w.first.Accepted()+w.second.Accepted())
	return nil
}

// writeUntilServed writes a session's second value and repeats it as a client does: after a refusal. It returns the commit.
func (w *world) writeUntilServed(client *standins.Client, i int) (time.Time, error) {
	for try := range 40 {
		got, err := client.Ask(insert(fmt.Sprintf("second-%d-%d", i, try), session(i), "v2"), 5*time.Second)
		w.c.Log("client", "write second-%d-%d: value %q, code %q, %v", i, try, got.Value, got.Code, err)
		if err != nil {
			return time.Time{}, err
		}
		if got.Code == "" {
			w.mu.Lock()
			defer w.mu.Unlock()
			entries := w.log[session(i)]
			return entries[len(entries)-1].at, nil
		}
		if !got.Refused() {
			return time.Time{}, fmt.Errorf("a write failed: %s", got.Code)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("no write was served")
}
