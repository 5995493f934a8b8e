package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"cairntiller/internal/testcluster/client"
	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/database"
)

const (
	demoSessions  = 24
	demoMinTime   = 4 * time.Second         // less shows no failover
	demoMaxGroups = 20                      // more is too much for one machine
	demoElection  = 1200 * time.Millisecond // from a primary's death to its successor
	demoDiscovery = 800 * time.Millisecond  // more until discovery announces it
	demoPause     = 15 * time.Millisecond   // between a session's commands, about
	demoWaited    = 12 * time.Millisecond   // a read that took longer waited for a replica: a node needs two
)

// Errors of a demo.
var (
	errDemoFlags  = errors.New("from 1 to 20 groups, and 4 seconds at least")
	errNoFailover = errors.New("no write of group 0 was answered after the death of its primary")
)

// demoCommand shows a router at work before simulated nodes, with a primary that dies half-way.
type demoCommand struct {
	Groups   int           `default:"2" help:"Node groups, each of one primary and two replicas."`
	Duration time.Duration `name:"for" default:"8s" help:"How long to send commands; a primary dies half-way."`
	Seed     uint64        `default:"1" help:"For the mix of commands."`
	Stay     bool          `help:"Stay up afterwards, for a client of your own, until Ctrl-C."`
}

// write is one write of the group that loses its primary.
type write struct{ sent, answered time.Time }

// observations are what the demo's clients saw.
type observations struct {
	sync.Mutex
	answered        int
	rejected        int // answered with 53300: too many connections or requests
	failed          int // answered with any other error
	disconnected    int
	readsThatWaited int
	longestWait     time.Duration
	writes          []write
	violations      []string // rules that the router broke
}

// Run plays the demo.
func (d *demoCommand) Run(out io.Writer) error {
	if d.Groups < 1 || d.Groups > demoMaxGroups || d.Duration < demoMinTime {
		return errDemoFlags
	}
	c, err := cluster.New(d.Seed, d.Groups, 3)
	if err != nil {
		return err
	}
	defer c.Close()
	log, err := os.Create(c.Folder + "/router.log")
	if err != nil {
		return err
	}
	defer log.Close()
	router, err := c.StartRouter("demo", 1, "", log, "run")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d nodes in %d groups, discovery at %s, a router at %s\n", 3*d.Groups, d.Groups, c.Discovery.Address(), router.Address)
	fmt.Fprintf(out, "%d sessions write, read their own writes and read anything, for %v\n\n", demoSessions, d.Duration)

	var seen observations
	end := time.Now().Add(d.Duration)
	var sessions sync.WaitGroup
	for i := range demoSessions {
		sessions.Go(func() { d.runSession(router, i, end, &seen) })
	}
	time.Sleep(d.Duration / 2)
	countsBefore := commandCounts(c.Database)
	died := failOver(out, c, seen.summary())
	sessions.Wait()
	if err := report(out, c, &seen, countsBefore, died); err != nil {
		return err
	}
	if !d.Stay {
		return router.Stop()
	}
	stayUp(out, c, router)
	return nil
}

// failOver kills the primary of group 0 and promotes a replica; discovery announces it later. It returns the time of death.
func failOver(out io.Writer, c *cluster.Cluster, summary string) time.Time {
	victim := c.Database.Nodes()[0]
	successor := c.Database.Nodes()[1]
	died := time.Now()
	victim.Kill()
	fmt.Fprintf(out, "half-way   %s\n", summary)
	fmt.Fprintf(out, "%9v  %s, the primary of group 0, is killed\n", 0*time.Second, victim.Name)
	time.Sleep(demoElection)
	successor.Promote()
	fmt.Fprintf(out, "%9v  %s takes its place; discovery does not know yet\n", time.Since(died).Round(time.Millisecond), successor.Name)
	time.Sleep(demoDiscovery)
	c.Announce(victim, "left")
	c.Announce(successor, "active")
	fmt.Fprintf(out, "%9v  discovery tells of it\n", time.Since(died).Round(time.Millisecond))
	return died
}

// report prints what the clients saw. The error tells that a rule was broken or that writes did not go on.
func report(out io.Writer, c *cluster.Cluster, seen *observations, countsBefore map[string]int, died time.Time) error {
	first, gap := seen.failoverTimes(died)
	fmt.Fprintf(out, "%9v  the first write of group 0 is answered again; none was for %v\n", first.Round(time.Millisecond), gap.Round(time.Millisecond))
	fmt.Fprintf(out, "at the end %s\n\n", seen.summary())
	printNodes(out, c.Database, countsBefore)
	fmt.Fprintf(out, "\n%d reads of a session's own row waited for a replica to reach its last write, %v at the longest\n",
		seen.readsThatWaited, seen.longestWait.Round(time.Millisecond))
	if violations := append(seen.violations, c.Database.Violations()...); len(violations) > 0 {
		for _, one := range violations {
			fmt.Fprintln(out, "broken:", one)
		}
		return fmt.Errorf("%d rules broken", len(violations))
	}
	if first == 0 || seen.answered == 0 {
		return errNoFailover
	}
	fmt.Fprintln(out, "each command had one answer, none ran twice, and every session saw its own writes")
	return nil
}

// stayUp tells how to send commands to the router, and returns at Ctrl-C.
func stayUp(out io.Writer, c *cluster.Cluster, router *cluster.Router) {
	fmt.Fprintf(out, `
It stays up. A client of PostgreSQL's protocol finds it at %s, user portal, database crm; a command says in a comment
what it is, and d, in ms, how long you wait:
  /* id=mine-1,c=entry,d=900,cluster=0 */ INSERT INTO facts (code, data) VALUES ('me', '42') RETURNING data
  /* id=mine-2,c=own,d=900,cluster=0 */ SELECT data FROM facts WHERE code = 'me'
Ctrl-C ends it. The router's log is %s/router.log
`, router.Address, c.Folder)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

// runSession sends one client's mix of commands until the end: two in ten write, four read the session's own writes, four
// read anything.
func (d *demoCommand) runSession(router *cluster.Router, i int, end time.Time, seen *observations) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(i)))
	session := router.NewSession(fmt.Sprint("session", i))
	defer session.Close()
	group := i % d.Groups
	for time.Now().Before(end) {
		draw := random.IntN(10)
		sent := time.Now()
		var answer client.Answer
		var err error
		switch {
		case draw < 2:
			answer, err = session.Write(cluster.ClassWrite, group)
			seen.recordWrite(answer, err, group, sent)
		case draw < 6:
			answer, err = session.Read(cluster.ClassReadOwn, group, true)
			seen.recordOwnRead(answer, err)
		default:
			answer, err = session.Read(cluster.ClassReadAny, group, false)
			seen.record(answer, err)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * demoPause))))
	}
	seen.Lock()
	defer seen.Unlock()
	seen.violations = append(seen.violations, session.Violations...)
}

// record counts an answer, and reports whether it was a good one.
func (o *observations) record(answer client.Answer, err error) bool {
	o.Lock()
	defer o.Unlock()
	switch {
	case err != nil:
		o.disconnected++
	case answer.ErrorCode == "53300":
		o.rejected++
	case answer.ErrorCode != "":
		o.failed++
	default:
		o.answered++
		return true
	}
	return false
}

// recordWrite counts a write, and keeps its times if its group loses its primary.
func (o *observations) recordWrite(answer client.Answer, err error, group int, sent time.Time) {
	if !o.record(answer, err) || group != 0 {
		return
	}
	o.Lock()
	defer o.Unlock()
	o.writes = append(o.writes, write{sent: sent, answered: sent.Add(answer.Took)})
}

// recordOwnRead counts a read of the session's own writes, and whether it waited for a replica.
func (o *observations) recordOwnRead(answer client.Answer, err error) {
	if !o.record(answer, err) || answer.Took <= demoWaited {
		return
	}
	o.Lock()
	defer o.Unlock()
	o.readsThatWaited++
	o.longestWait = max(o.longestWait, answer.Took)
}

// summary is one line of what was counted so far.
func (o *observations) summary() string {
	o.Lock()
	defer o.Unlock()
	return fmt.Sprintf("%d answered, %d throttled, %d failed, %d connections ended", o.answered, o.rejected, o.failed, o.disconnected)
}

// failoverTimes returns when the first write after a death was answered, since the death, and the longest time without one;
// 0 for both if none was.
func (o *observations) failoverTimes(died time.Time) (first, gap time.Duration) {
	o.Lock()
	defer o.Unlock()
	slices.SortFunc(o.writes, func(a, b write) int { return a.answered.Compare(b.answered) })
	last := died
	for _, w := range o.writes {
		if w.answered.Before(died) {
			last = w.answered
			continue
		}
		return w.answered.Sub(died), w.answered.Sub(last)
	}
	return 0, 0
}

// commandCounts returns how many commands each node has had, by name.
func commandCounts(c *database.Cluster) map[string]int {
	counts := map[string]int{}
	for _, n := range c.Nodes() {
		counts[n.Name] = n.QueryCount()
	}
	return counts
}

// printNodes prints what went where, before and after the death.
func printNodes(out io.Writer, c *database.Cluster, before map[string]int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "node\trole\tcommands before\tafter\tprobes\t")
	for _, n := range c.Nodes() {
		role := "replica"
		if n.IsPrimary() {
			role = "primary"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t\n", n.Name, role, before[n.Name], n.QueryCount()-before[n.Name], len(n.ProbeTimes()))
	}
	w.Flush()
}
