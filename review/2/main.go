//go:build review

// Command 2 plays case 2 of the review: answers that wait behind a slow one on a connection.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/review/play"
)

const (
	hungGroup = 3 // the set whose primary hangs
	group     = 4 // the other one
	reads     = 44
	writes    = 3      // to the other set, after the reads
	valueSize = 64_000 // bytes and a few more; the protocol allows 64 KiB
	writeTime = 2100   // ms: 42% of the client timeout of entry-post
	readTime  = 2000   // ms

	pause   = 40 * time.Millisecond  // between two commands of a client
	stagger = 300 * time.Millisecond // between two clients
)

func main() {
	run := play.Begin(os.Args[1])
	var mu sync.Mutex
	ran := map[string]bool{} // writes
	var nodes []*play.Node
	var list []play.Endpoint
	for i := range 12 {
		set := hungGroup
		if i >= 6 {
			set = group
		}
		n := run.StartNode(fmt.Sprintf("s-%d", i+1), set, i%6 == 0, 3)
		n.Value = func(command *pgwire.Command) string {
			if command.Group == "entry-post" {
				mu.Lock()
				ran[command.ID] = true
				mu.Unlock()
				return "made for " + command.ID + " "
			}
			return "made for " + command.ID + " " + strings.Repeat("x", valueSize)
		}
		nodes = append(nodes, n)
		list = append(list, n.Endpoint())
	}
	discovery := run.StartDiscovery(41, list)
	var routers []*play.Router
	for i := range 3 {
		routers = append(routers, run.StartRouter(fmt.Sprintf("n%d", i), discovery.Address, discovery.Known(), play.StallRegister(i), ""))
	}
	for round := range 3 { // all is well: each client's commands one after the other, to warm up
		for i, router := range routers {
			single(run, router, fmt.Sprintf("w%d%d", round, i))
		}
	}
	if run.Trouble {
		run.Logf("the primary %s hangs: it takes commands and answers none", nodes[0].Name)
		nodes[0].Set(func(n *play.Node) { n.Hung = true })
	}
	var wg sync.WaitGroup
	answered := 0
	var lost []string
	for i, router := range routers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			a, l := batch(run, router, fmt.Sprintf("r%d", i))
			mu.Lock()
			answered += a
			lost = append(lost, l...)
			mu.Unlock()
		})
	}
	wg.Wait()
	for _, router := range routers {
		if router.Exited() {
			run.Logf("%s:\n%s", router.Name, play.Indent(run.Log(router.Name)))
			run.Broken("router %s has crashed", router.Name)
		}
	}
	if len(lost) > 0 {
		effects := 0
		for _, id := range lost {
			if ran[id] {
				effects++
				run.Logf("%s has run at its node and has no answer", id)
			}
		}
		run.Broken("%d commands got no answer because the router closed their connection, %d of them writes that had run; %d were answered",
			len(lost), effects, answered)
	}
	run.Held("all %d commands got their answer", answered)
}

// single sends a write and a read to each set on a connection of its own and expects all to be served.
func single(run *play.Run, router *play.Router, id string) {
	c, err := play.Connect(router.Address)
	run.Check(err)
	defer c.Close()
	for _, set := range []int{hungGroup, group} {
		commands := [][]byte{
			play.Write(fmt.Sprintf("%sw%d", id, set), "entry-post", "western-council", 5000, set, "key"+id),
			play.Read(fmt.Sprintf("%sr%d", id, set), "board-view", "western-council", readTime, set, "key"+id),
		}
		for _, command := range commands {
			run.Check(c.Send(command))
			answer, err := c.Receive(time.Now().Add(6 * time.Second))
			run.Check(err)
			if answer.Code != "" {
				run.NotRun("the warm-up of %s got %v", router.Name, answer)
			}
		}
	}
}

// batch sends a write to the set whose primary hangs, then reads to both sets and some writes to the other one, all on
// one connection and without waiting for answers, and reads the answers at full speed. It returns the commands without
// an answer.
func batch(run *play.Run, router *play.Router, id string) (answered int, lost []string) {
	c, err := play.Connect(router.Address)
	run.Check(err)
	defer c.Close()
	ids := []string{id + "first"}
	commands := [][]byte{play.Write(ids[0], "entry-post", "western-council", writeTime, hungGroup, "key"+id)}
	for i := range reads {
		next := fmt.Sprintf("%sread%02d", id, i)
		ids = append(ids, next)
		commands = append(commands, play.Read(next, "board-view", "central-council", readTime, hungGroup+i%2, "key"+id))
	}
	for i := range writes {
		next := fmt.Sprintf("%swrite%d", id, i)
		ids = append(ids, next)
		commands = append(commands, play.Write(next, "entry-post", "central-council", writeTime, group, "key"+id))
	}
	began := time.Now()
	go func() {
		for i, command := range commands {
			run.Logf("client %s sends %s to %s", id, ids[i], router.Name)
			if c.Send(command) != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	for i, expected := range ids {
		answer, err := c.Receive(began.Add(10 * time.Second))
		if err != nil {
			run.Logf("client %s: the connection ended before the answer to %s: %v; %d commands have no answer", id, expected, err, len(ids)-i)
			return i, ids[i:]
		}
		run.Logf("client %s: %s is answered %d ms after the first command: %v", id, expected, answer.At.Sub(began).Milliseconds(), answer)
		if answer.Code == "" && !strings.HasPrefix(answer.Value, "made for "+expected+" ") {
			run.Broken("client %s got for %s what was not made for it: %v", id, expected, answer)
		}
	}
	return len(ids), nil
}
