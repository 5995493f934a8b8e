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
	demoSessions          = 24
	demoMinDuration       = 4 * time.Second         // a shorter demo shows no failover
	demoMaxGroups         = 20                      // more groups overload one machine
	demoElectionTime      = 1200 * time.Millisecond // from the death of the primary to the promotion of a replica
	demoDiscoveryDelay    = 800 * time.Millisecond  // from the promotion until discovery announces it
	demoMeanPause         = 15 * time.Millisecond   // mean pause between two commands of a session
	demoReadWaitThreshold = 12 * time.Millisecond   // a read that took longer waited for a replica; a node needs 2 ms for a command
)

// Errors of the demo command.
var (
	errDemoFlags  = errors.New("want 1 to 20 groups and a duration of at least 4 seconds")
	errNoFailover = errors.New("no write of group 0 was answered after its primary was killed")
)

// demoCommand runs a router in front of simulated nodes and kills a primary halfway through.
type demoCommand struct {
	Groups   int           `default:"2" help:"Number of node groups, each with one primary and two replicas."`
	Duration time.Duration `name:"for" default:"8s" help:"How long to send commands; a primary is killed halfway through."`
	Seed     uint64        `default:"1" help:"Random seed of the command mix."`
	Stay     bool          `help:"Keep running afterwards until Ctrl-C, so that you can connect a client."`
}

// write holds the times of one write to group 0, which loses its primary.
type write struct{ sent, answered time.Time }

// observations collects what the demo's clients observed.
type observations struct {
	sync.Mutex
	answered        int
	rejected        int // answered with 53300: too many connections or requests
	failed          int // answered with any other error
	disconnected    int
	readsThatWaited int
	longestWait     time.Duration
	writes          []write
	violations      []string // guarantees that the router broke
}

// Run runs the demo.
func (d *demoCommand) Run(out io.Writer) error {
	if d.Groups < 1 || d.Groups > demoMaxGroups || d.Duration < demoMinDuration {
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
	fmt.Fprintf(out, "%d nodes in %d groups, discovery at %s, router at %s\n", 3*d.Groups, d.Groups, c.Discovery.Address(), router.Address)
	fmt.Fprintf(out, "%d sessions send writes, reads of their own writes and other reads for %v\n\n", demoSessions, d.Duration)

	var observed observations
	end := time.Now().Add(d.Duration)
	var sessions sync.WaitGroup
	for i := range demoSessions {
		sessions.Go(func() { d.runSession(router, i, end, &observed) })
	}
	time.Sleep(d.Duration / 2)
	countsBefore := commandCounts(c.Database)
	killedAt := failOver(out, c, observed.summary())
	sessions.Wait()
	if err := report(out, c, &observed, countsBefore, killedAt); err != nil {
		return err
	}
	if !d.Stay {
		return router.Stop()
	}
	stayUp(out, c, router)
	return nil
}

// failOver kills the primary of group 0 and promotes a replica, which discovery announces later. It returns the time of the
// kill.
func failOver(out io.Writer, c *cluster.Cluster, summary string) time.Time {
	oldPrimary := c.Database.Nodes()[0]
	newPrimary := c.Database.Nodes()[1]
	killedAt := time.Now()
	oldPrimary.Kill()
	fmt.Fprintf(out, "half-way   %s\n", summary)
	fmt.Fprintf(out, "%9v  %s, the primary of group 0, is killed\n", 0*time.Second, oldPrimary.Name)
	time.Sleep(demoElectionTime)
	newPrimary.Promote()
	fmt.Fprintf(out, "%9v  %s is promoted to primary; discovery has not announced it yet\n", time.Since(killedAt).Round(time.Millisecond), newPrimary.Name)
	time.Sleep(demoDiscoveryDelay)
	c.Announce(oldPrimary, "left")
	c.Announce(newPrimary, "active")
	fmt.Fprintf(out, "%9v  discovery announces the new primary\n", time.Since(killedAt).Round(time.Millisecond))
	return killedAt
}

// report prints what the clients observed. It returns an error if a guarantee was broken or writes did not resume.
func report(out io.Writer, c *cluster.Cluster, observed *observations, countsBefore map[string]int, killedAt time.Time) error {
	first, gap := observed.failoverTimes(killedAt)
	fmt.Fprintf(out, "%9v  the first write of group 0 is answered; none was answered for %v\n", first.Round(time.Millisecond), gap.Round(time.Millisecond))
	fmt.Fprintf(out, "at the end %s\n\n", observed.summary())
	printNodes(out, c.Database, countsBefore)
	fmt.Fprintf(out, "\n%d reads of a session's own writes waited for a replica to apply the last write, the longest for %v\n",
		observed.readsThatWaited, observed.longestWait.Round(time.Millisecond))
	if violations := append(observed.violations, c.Database.Violations()...); len(violations) > 0 {
		for _, violation := range violations {
			fmt.Fprintln(out, "broken:", violation)
		}
		return fmt.Errorf("%d guarantees broken", len(violations))
	}
	if first == 0 || observed.answered == 0 {
		return errNoFailover
	}
	fmt.Fprintln(out, "each command got one answer, none ran twice, and every session read its own writes")
	return nil
}

// stayUp prints how to send commands to the router, and returns on Ctrl-C or SIGTERM.
func stayUp(out io.Writer, c *cluster.Cluster, router *cluster.Router) {
	fmt.Fprintf(out, `
The router keeps running. Connect a client of PostgreSQL's protocol to %s, user portal, database crm. The comment of a
command holds its id, its class and, as d, the client timeout in ms:
  /* id=mine-1,c=entry,d=900,cluster=0 */ INSERT INTO facts (code, data) VALUES ('me', '42') RETURNING data
  /* id=mine-2,c=own,d=900,cluster=0 */ SELECT data FROM facts WHERE code = 'me'
Press Ctrl-C to stop it. The router's log is %s/router.log
`, router.Address, c.Folder)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

// runSession sends the commands of one client session until end: 20% are writes, 40% read the session's own writes, and
// 40% are reads that accept data of any age.
func (d *demoCommand) runSession(router *cluster.Router, i int, end time.Time, observed *observations) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(i)))
	session := router.NewSession(fmt.Sprint("session", i))
	defer session.Close()
	group := i % d.Groups
	for time.Now().Before(end) {
		choice := random.IntN(10)
		sent := time.Now()
		var answer client.Answer
		var err error
		switch {
		case choice < 2:
			answer, err = session.Write(cluster.ClassWrite, group)
			observed.recordWrite(answer, err, group, sent)
		case choice < 6:
			answer, err = session.Read(cluster.ClassReadOwn, group, true)
			observed.recordOwnRead(answer, err)
		default:
			answer, err = session.Read(cluster.ClassReadAny, group, false)
			observed.record(answer, err)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * demoMeanPause))))
	}
	observed.Lock()
	defer observed.Unlock()
	observed.violations = append(observed.violations, session.Violations...)
}

// record counts an answer and reports whether the command succeeded.
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

// recordWrite counts a write, and records its times if it went to group 0 and succeeded.
func (o *observations) recordWrite(answer client.Answer, err error, group int, sent time.Time) {
	if !o.record(answer, err) || group != 0 {
		return
	}
	o.Lock()
	defer o.Unlock()
	o.writes = append(o.writes, write{sent: sent, answered: sent.Add(answer.Took)})
}

// recordOwnRead counts a read of the session's own writes and records whether it waited for a replica.
func (o *observations) recordOwnRead(answer client.Answer, err error) {
	if !o.record(answer, err) || answer.Took <= demoReadWaitThreshold {
		return
	}
	o.Lock()
	defer o.Unlock()
	o.readsThatWaited++
	o.longestWait = max(o.longestWait, answer.Took)
}

// summary returns the counts so far as one line.
func (o *observations) summary() string {
	o.Lock()
	defer o.Unlock()
	return fmt.Sprintf("%d answered, %d throttled, %d failed, %d connections ended", o.answered, o.rejected, o.failed, o.disconnected)
}

// failoverTimes returns the time from the kill of the primary to the first answered write after it, and the time between
// the last answered write before the kill and that write. Both are 0 if no later write was answered.
func (o *observations) failoverTimes(killedAt time.Time) (first, gap time.Duration) {
	o.Lock()
	defer o.Unlock()
	slices.SortFunc(o.writes, func(a, b write) int { return a.answered.Compare(b.answered) })
	last := killedAt
	for _, w := range o.writes {
		if w.answered.Before(killedAt) {
			last = w.answered
			continue
		}
		return w.answered.Sub(killedAt), w.answered.Sub(last)
	}
	return 0, 0
}

// commandCounts returns how many commands each node has received, by node name.
func commandCounts(c *database.Cluster) map[string]int {
	counts := map[string]int{}
	for _, n := range c.Nodes() {
		counts[n.Name] = n.CommandCount()
	}
	return counts
}

// printNodes prints how many commands each node received before and after the kill, and how many probes in all.
func printNodes(out io.Writer, c *database.Cluster, before map[string]int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "node\trole\tcommands before\tafter\tprobes\t")
	for _, n := range c.Nodes() {
		role := "replica"
		if n.IsPrimary() {
			role = "primary"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t\n", n.Name, role, before[n.Name], n.CommandCount()-before[n.Name], len(n.ProbeTimes()))
	}
	w.Flush()
}
