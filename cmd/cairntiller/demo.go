package main

import (
	"context"
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
	demoSessions = 24
	demoElection = 1200 * time.Millisecond // from a primary's death to its successor
	demoList     = 800 * time.Millisecond  // more until discovery tells of it
	demoPause    = 15 * time.Millisecond   // between a session's commands, about
	demoWaited   = 12 * time.Millisecond   // a read that took longer waited: a node needs two
)

type demoCommand struct {
	Groups   int           `default:"2" help:"Node groups, each of one primary and two replicas."`
	Duration time.Duration `name:"for" default:"8s" help:"How long to send commands; a primary dies half-way."`
	Seed     uint64        `default:"1" help:"For the mix of commands."`
	Stay     bool          `help:"Stay up afterwards, for a client of your own, until Ctrl-C."`
}

// observations are what the demo's clients saw.
type observations struct {
	sync.Mutex
	answered, rejected, failed, disconnected int
	readsThatWaited                          int
	longestWait                              time.Duration
	writes                                   [][2]time.Time // of the group that loses its primary: sent, answered
	violations                               []string
}

func (l *demoCommand) Run(out io.Writer) error {
	if l.Groups < 1 || l.Groups > 20 || l.Duration < 4*time.Second {
		return fmt.Errorf("from 1 to 20 groups, and 4 seconds at least")
	}
	s, err := cluster.New(l.Seed, l.Groups, 3)
	if err != nil {
		return err
	}
	defer s.Close()
	log, err := os.Create(s.Folder + "/router.log")
	if err != nil {
		return err
	}
	defer log.Close()
	r, err := s.StartRouter("demo", 1, "", log, "run")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d nodes in %d groups, discovery at %s, a router at %s\n", 3*l.Groups, l.Groups, s.Discovery.Address(), r.Address)
	fmt.Fprintf(out, "%d sessions write, read their own writes and read anything, for %v\n\n", demoSessions, l.Duration)

	var seen observations
	end := time.Now().Add(l.Duration)
	var all sync.WaitGroup
	for i := range demoSessions {
		all.Go(func() { l.session(r, i, end, &seen) })
	}
	time.Sleep(l.Duration / 2)
	calm := seen.summary()
	counts := commandCounts(s.Database)
	victim, heir := s.Database.Nodes()[0], s.Database.Nodes()[1]
	died := time.Now()
	victim.Kill()
	fmt.Fprintf(out, "half-way   %s\n", calm)
	fmt.Fprintf(out, "%9v  %s, the primary of group 0, is killed\n", 0*time.Second, victim.Name)
	time.Sleep(demoElection)
	heir.Promote()
	fmt.Fprintf(out, "%9v  %s takes its place; discovery does not know yet\n", time.Since(died).Round(time.Millisecond), heir.Name)
	time.Sleep(demoList)
	s.Announce(victim, "left")
	s.Announce(heir, "active")
	fmt.Fprintf(out, "%9v  discovery tells of it\n", time.Since(died).Round(time.Millisecond))
	all.Wait()

	first, gap := seen.failoverTimes(died)
	fmt.Fprintf(out, "%9v  the first write of group 0 is answered again; none was for %v\n", first.Round(time.Millisecond), gap.Round(time.Millisecond))
	fmt.Fprintf(out, "at the end %s\n\n", seen.summary())
	printNodes(out, s.Database, counts)
	fmt.Fprintf(out, "\n%d reads of a session's own row waited for a replica to reach its last write, %v at the longest\n",
		seen.readsThatWaited, seen.longestWait.Round(time.Millisecond))
	if broken := append(seen.violations, s.Database.Violations()...); len(broken) > 0 {
		for _, one := range broken {
			fmt.Fprintln(out, "broken:", one)
		}
		return fmt.Errorf("%d rules broken", len(broken))
	}
	if first == 0 || seen.answered == 0 {
		return fmt.Errorf("no write of group 0 was answered after the death of its primary")
	}
	fmt.Fprintln(out, "each command had one answer, none ran twice, and every session saw its own writes")
	if !l.Stay {
		return r.Stop()
	}
	fmt.Fprintf(out, `
It stays up. A client of PostgreSQL's protocol finds it at %s, user portal, database crm; a command says in a comment
what it is, and d, in ms, how long you wait:
  /* id=mine-1,c=entry,d=900,cluster=0 */ INSERT INTO facts (code, data) VALUES ('me', '42') RETURNING data
  /* id=mine-2,c=own,d=900,cluster=0 */ SELECT data FROM facts WHERE code = 'me'
Ctrl-C ends it. The router's log is %s/router.log
`, r.Address, s.Folder)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

// session sends one client's mix until the end.
func (l *demoCommand) session(r *cluster.Router, i int, end time.Time, seen *observations) {
	rng := rand.New(rand.NewPCG(l.Seed, uint64(i)))
	c := r.NewSession(fmt.Sprint("session", i))
	defer c.Close()
	group := i % l.Groups
	for time.Now().Before(end) {
		kind, began := rng.IntN(10), time.Now()
		var a client.Answer
		var err error
		switch {
		case kind < 2:
			a, err = c.Write(cluster.ClassWrite, group)
		case kind < 6:
			a, err = c.Read(cluster.ClassReadOwn, group, true)
		default:
			a, err = c.Read(cluster.ClassReadAny, group, false)
		}
		seen.Lock()
		switch {
		case err != nil:
			seen.disconnected++
		case a.ErrorCode == "53300":
			seen.rejected++
		case a.ErrorCode != "":
			seen.failed++
		default:
			seen.answered++
			if kind >= 2 && kind < 6 && a.Took > demoWaited {
				seen.readsThatWaited++
				seen.longestWait = max(seen.longestWait, a.Took)
			}
			if kind < 2 && group == 0 {
				seen.writes = append(seen.writes, [2]time.Time{began, began.Add(a.Took)})
			}
		}
		seen.Unlock()
		time.Sleep(time.Duration(rng.Int64N(int64(2 * demoPause))))
	}
	seen.Lock()
	seen.violations = append(seen.violations, c.Violations...)
	seen.Unlock()
}

func (t *observations) summary() string {
	t.Lock()
	defer t.Unlock()
	return fmt.Sprintf("%d answered, %d throttled, %d failed, %d connections ended", t.answered, t.rejected, t.failed, t.disconnected)
}

// failoverTimes returns when the first write after a death was answered, since it, and the longest time without one.
func (t *observations) failoverTimes(died time.Time) (first, gap time.Duration) {
	t.Lock()
	defer t.Unlock()
	slices.SortFunc(t.writes, func(a, b [2]time.Time) int { return a[1].Compare(b[1]) })
	last := died
	for _, w := range t.writes {
		if w[1].Before(died) {
			last = w[1]
		} else if first == 0 && w[0].Before(w[1]) {
			first, gap = w[1].Sub(died), w[1].Sub(last)
		}
	}
	return first, gap
}

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
