// Package failovers plays hand-overs of the primary on real sockets, while connections come up late, answers are cut off and
// load reports are old. Sessions write and read their own rows, and no read may miss a write of its session, unless the rules
// excuse it. In plays with an even seed one router keeps the sessions' tokens; in the others two routers serve sessions that
// carry them and move between the routers.
package failovers

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/database"
)

const (
	shards        = 2
	nodesPerShard = 3
	sessions      = 24
	// workPerCommand is long enough for several commands of a shard to be in flight at once, so that some need a new
	// connection.
	workPerCommand = 20 * time.Millisecond
	longestThought = 30 * time.Millisecond // between two commands of a session
	longestCalm    = 500 * time.Millisecond
	longestHang    = 400 * time.Millisecond
	longestLag     = 1500 * time.Millisecond // of a former primary, and of replicas
	longestNotice  = 2 * time.Second         // from a hand-over until the list shows it
)

// faultsOnNetwork stay on during a play.
var faultsOnNetwork = database.NetworkFaults{
	LateStartups:    0.6,
	MaxStartupDelay: 240 * time.Millisecond, // within the routers' connect timeout
	CutOffRows:      0.1,
	MaxReportAge:    300 * time.Millisecond,
}

// Soak is a play drawn from a seed.
type Soak struct {
	seed    uint64
	Length  time.Duration
	Program string // executable of the router, "" for this program's
	Log     io.Writer
}

// Result is what a play has shown.
type Result struct {
	Handovers, Served, Failed int
	Violations                []string
}

// String describes the result on one line.
func (r Result) String() string {
	return fmt.Sprintf("%d hand-overs, %d commands served, %d not served, %d violations", r.Handovers, r.Served, r.Failed, len(r.Violations))
}

// violated returns what broke a rule, and an error if nothing was tried.
func (r Result) violated() error {
	var broken []error
	if r.Served == 0 || r.Handovers == 0 {
		broken = append(broken, errNothingTried)
	}
	for _, violation := range r.Violations {
		broken = append(broken, errors.New(violation))
	}
	return errors.Join(broken...)
}

// errNothingTried reports that no command was served, or no primary handed over.
var errNothingTried = errors.New("nothing was tried")

// Play plays the soak of a seed, with all else as in s. It returns a line about it, and an error that joins all that broke a
// rule.
func (s Soak) Play(seed uint64) (line string, err error) {
	s.seed = seed
	result, err := s.run()
	return result.String(), errors.Join(err, result.violated())
}

func (s Soak) run() (result Result, err error) {
	c, err := cluster.NewFromConfig(cluster.Config{Seed: s.seed, Shards: shards, NodesPerShard: nodesPerShard, WorkPerCommand: workPerCommand, RouterProgram: s.Program,
		CarriedTokens: s.roams()})
	if err != nil {
		return result, err
	}
	defer c.Close()
	for _, node := range c.Database.Nodes() {
		node.SetNetworkFaults(faultsOnNetwork)
	}
	routers, err := s.startRouters(c)
	if err != nil {
		return result, err
	}
	stop := make(chan struct{})
	results := make(chan Result, sessions)
	for i := range sessions {
		random := rand.New(rand.NewPCG(s.seed, uint64(i)))
		go func() { results <- playSession(c, routers, i, random, stop) }()
	}
	handovers := injectFaults(c, rand.New(rand.NewPCG(s.seed, sessions)), time.Now().Add(s.Length))
	close(stop)
	for range sessions {
		result.add(<-results)
	}
	result.Handovers = handovers
	result.Violations = append(result.Violations, c.Database.Violations()...)
	for _, router := range routers {
		if code, exited := router.ExitCode(); exited {
			return result, fmt.Errorf("router %s exited with code %d", router.Name, code)
		}
	}
	return result, nil
}

// roams reports whether the sessions of a play carry their tokens and move between two routers.
func (s Soak) roams() bool { return s.seed%2 == 1 }

// startRouters starts the routers of a play.
func (s Soak) startRouters(c *cluster.Cluster) (routers []*cluster.Router, err error) {
	count := 1
	if s.roams() {
		count = 2
	}
	for i := range count {
		router, err := c.StartRouter(fmt.Sprint("n", i), count, "", s.Log, "run")
		if err != nil {
			return nil, err
		}
		routers = append(routers, router)
	}
	return routers, nil
}

func (r *Result) add(other Result) {
	r.Served += other.Served
	r.Failed += other.Failed
	r.Violations = append(r.Violations, other.Violations...)
}

// playSession writes and reads the row of one session until it is told to stop.
func playSession(c *cluster.Cluster, routers []*cluster.Router, number int, random *rand.Rand, stop chan struct{}) (result Result) {
	session := routers[0].NewSession(fmt.Sprintf("session-%d", number))
	defer session.Close()
	session.Excused = c.Database.Excused
	session.RouterName = routers[0].Name
	session.CarriesToken = len(routers) > 1
	shard := number % shards
	for {
		select {
		case <-stop:
			result.Violations = session.Violations
			return result
		default:
		}
		answer, err := session.Write(cluster.ClassWrite, shard)
		result.count(answer.ErrorCode == "" && err == nil)
		for range 1 + random.IntN(3) {
			time.Sleep(time.Duration(random.Int64N(int64(longestThought))))
			if len(routers) > 1 {
				router := routers[random.IntN(len(routers))]
				session.SwitchRouter(router.Address)
				session.RouterName = router.Name
			}
			answer, err := session.Read(cluster.ClassReadOwn, shard, true)
			result.count(answer.ErrorCode == "" && err == nil)
		}
	}
}

func (r *Result) count(served bool) {
	if served {
		r.Served++
	} else {
		r.Failed++
	}
}

// injectFaults changes the state of the nodes at random until the end, and returns the number of hand-overs.
func injectFaults(c *cluster.Cluster, random *rand.Rand, end time.Time) (handovers int) {
	var announcements sync.WaitGroup
	defer announcements.Wait()
	nodes := c.Database.Nodes()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(longestCalm))))
		node := nodes[random.IntN(len(nodes))]
		switch random.IntN(6) {
		case 0:
			node.Hang(true)
			time.Sleep(time.Duration(random.Int64N(int64(longestHang))))
			node.Hang(false)
		case 1:
			node.ResetConnections(random.Float64())
		case 2:
			node.SetApplyLag(random.Int64N(longestLag.Microseconds()))
		default:
			if former := handOver(nodes, node, random); former != nil {
				handovers++
				notice := time.Duration(random.Int64N(int64(longestNotice)))
				announcements.Go(func() {
					time.Sleep(notice)
					c.Announce(former, "active")
					c.Announce(node, "active")
				})
			}
		}
	}
	return handovers
}

// handOver makes a node the primary of its shard. The former primary, which it returns, lags from then on; it is nil if the
// node is the primary already.
func handOver(nodes []*database.Node, node *database.Node, random *rand.Rand) (former *database.Node) {
	for _, n := range nodes {
		if n.Shard == node.Shard && n != node && n.IsPrimary() {
			former = n
		}
	}
	if former != nil {
		node.Promote()
		former.SetApplyLag(random.Int64N(longestLag.Microseconds()))
		former.ResetConnections(1)
	}
	return former
}
