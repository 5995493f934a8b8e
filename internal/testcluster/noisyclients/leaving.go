package noisyclients

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/cluster"
)

// goneAfter is how long after a client has closed its connection an attempt may still begin.
const goneAfter = 100 * time.Millisecond

// pauseLength is how long a paused router stands still: longer than every client stays, and goneAfter.
const pauseLength = 250 * time.Millisecond

// LeavingClients is a play of clients that send many writes on one connection and close it without reading an answer.
// Every second client then sends the same bytes again, under the same ids, on a new connection.
type LeavingClients struct {
	Seed            uint64
	Clients, Writes int    // Writes is the number for each client
	Paused          bool   // the router is stopped while the clients send and close
	Program         string // executable of the router
	Log             io.Writer
}

// LeavingResult is what the play has shown.
type LeavingResult struct {
	Executed   int      // writes that ran
	BegunLate  int      // writes that began more than goneAfter after their client had closed its connection
	Violations []string // the nodes' own, such as a write that ran twice
}

// leavingClient is one client of the play.
type leavingClient struct {
	ids      []string
	messages []byte
	conn     net.Conn
	repeats  bool
	stay     time.Duration // before it closes its connection
	away     time.Duration // before it sends its writes again
	closedAt int64         // us of the nodes' clock
}

// Run plays it.
func (p LeavingClients) Run() (result LeavingResult, err error) {
	c, router, err := startRouter(cluster.Config{Seed: p.Seed, Shards: 1, NodesPerShard: 3, RouterProgram: p.Program}, p.Log)
	if err != nil {
		return result, err
	}
	defer c.Close()
	random := rand.New(rand.NewPCG(p.Seed, 3))
	clients := make([]*leavingClient, p.Clients)
	for i := range clients {
		clients[i] = newLeavingClient(i, p.Writes, random)
	}
	for _, client := range clients {
		if err := client.connect(router.Address); err != nil {
			return result, err
		}
	}
	if p.Paused {
		router.Signal(syscall.SIGSTOP)
		time.AfterFunc(pauseLength, func() { router.Signal(syscall.SIGCONT) })
	}
	var all sync.WaitGroup
	for _, client := range clients {
		client.stay = time.Duration(5+random.IntN(36)) * time.Millisecond
		client.away = time.Duration(random.IntN(50)) * time.Millisecond
		all.Go(func() { client.run(router.Address, c.Database.Now) })
	}
	all.Wait()
	time.Sleep(time.Second) // what a node has taken runs to its end
	for _, client := range clients {
		for _, id := range client.ids {
			if c.Database.Executions(id) > 0 {
				result.Executed++
			}
			if begun := c.Database.LastArrival(id); !client.repeats && begun > client.closedAt+goneAfter.Microseconds() {
				result.BegunLate++
			}
		}
	}
	result.Violations = c.Database.Violations()
	return result, nil
}

func newLeavingClient(number, writes int, random *rand.Rand) *leavingClient {
	client := &leavingClient{repeats: number%2 == 0}
	for i := range writes {
		id := fmt.Sprintf("%016x-%d-%d", random.Uint64(), number, i)
		client.ids = append(client.ids, id)
		client.messages = pgwire.AppendQuery(client.messages, fmt.Sprintf(
			"/* id=%s,c=%s,d=1358,cluster=0 */ INSERT INTO facts (code, data) VALUES ('k%d', '%d') RETURNING data", id, cluster.ClassWrite, number, i))
	}
	return client
}

// connect opens a connection and reads the reply to the startup message.
func (c *leavingClient) connect(address string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	c.conn = conn
	if _, err := conn.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database)); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err = readAnswer(conn)
	return err
}

// run sends the writes, closes the connection and, if the client repeats them, sends them again.
func (c *leavingClient) run(address string, now func() int64) {
	go c.conn.Write(c.messages)
	time.Sleep(c.stay)
	c.conn.Close()
	c.closedAt = now()
	if !c.repeats {
		return
	}
	time.Sleep(c.away)
	if c.connect(address) != nil {
		return
	}
	defer c.conn.Close()
	go c.conn.Write(c.messages)
	c.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	io.Copy(io.Discard, c.conn)
}
