package proof

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/rollout"
	"cairntiller/internal/rolloutservice"
	"cairntiller/internal/testcluster/client"
	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/process"
)

// The limits that the proof of releases holds the routers to.
const (
	releaseLease = 2 * time.Second
	mostOut      = 2  // routers out at once by plans
	sessions     = 36 // clients in all, at each router as many as at another
	thinkTime    = 20 * time.Millisecond
	endWait      = 150 * time.Second
	lookGap      = 20 * time.Millisecond
)

// Releases are what a run of the proof is made of.
type Releases struct {
	Seed    uint64
	Routers int
	Voters  int
	Groups  int  // of three nodes each, one in each zone
	Nodes   int  // drained and returned
	Faults  bool // losses, cuts and kills while plans run
	Alone   bool // the baseline: each operator restarts his router by himself, at a time of his own
	Lose    bool // the router that leads is killed in the middle of a wave, again and again
	Log     io.Writer
	Writes  io.Writer
}

// rollingOut is a run under way.
type rollingOut struct {
	p     Releases
	s     *cluster.Cluster
	r     *process.Harness
	over  chan struct{}
	done  sync.WaitGroup
	mu    sync.Mutex
	start []int64 // processes of each router that were started
	down  []bool  // it is out by a plan
	most  int
	bad   []string

	answered, refused, failed, cut atomic.Int64
}

// Run plays the proof and returns its closing line; the error says which limits do not hold.
func (p Releases) Run() (line string, err error) {
	c := &rollingOut{p: p, over: make(chan struct{}), start: make([]int64, p.Routers), down: make([]bool, p.Routers)}
	if c.s, err = cluster.New(p.Seed, p.Groups, 3); err != nil {
		return "", err
	}
	defer c.s.Close()
	if err = c.open(); err != nil {
		return "", err
	}
	defer c.r.Close()
	defer c.stop()
	time.Sleep(2 * releaseLease)
	calm := c.load(time.Duration(p.Routers) * 500 * time.Millisecond)
	before := c.answered.Load()
	began := time.Now()
	if p.Faults {
		c.done.Go(c.faults)
	}
	var routers, nodes []string
	for i := range p.Routers {
		routers = append(routers, process.ProcessName(i))
	}
	for g := range p.Nodes {
		nodes = append(nodes, fmt.Sprintf("s-%d%c", g%p.Groups, 'a'+(g/p.Groups+g)%3))
	}
	plans := []rollout.Plan{
		{ID: "all", Kind: rollout.KindRestart, Units: routers, WaveSizes: []int{1, 3}, WatchTime: 1_000_000, ProgressTimeout: 60_000_000, Budget: rollout.Budget{MaxUnavailable: mostOut, MaxShare: 1}},
		{ID: "boxes", Kind: rollout.KindNodes, Units: nodes, WaveSizes: []int{1, 3}, WatchTime: 500_000, DrainTime: 1_000_000, ProgressTimeout: 60_000_000, Budget: rollout.Budget{MaxShare: 0.2, MinReplicas: 1}},
	}
	if c.p.Alone {
		return c.alone(calm)
	}
	for _, plan := range plans {
		if err := c.word(rollout.Command{Type: rollout.CommandStart, Token: plan.ID, Plan: plan}); err != nil {
			return "", fmt.Errorf("plan %s: %w", plan.ID, err)
		}
	}
	if p.Lose {
		c.done.Go(c.lose)
	}
	status, err := c.await(plans)
	if err != nil {
		return "", err
	}
	took := time.Since(began)
	rate := float64(c.answered.Load()-before) / took.Seconds() / calm
	c.stop()
	return c.judge(status, took, rate)
}

// alone lets each router be restarted at a random time of a short while, as when several operators hear of one release.
func (c *rollingOut) alone(calm float64) (line string, err error) {
	rng := rand.New(rand.NewPCG(c.p.Seed, 11))
	before, began := c.answered.Load(), time.Now()
	var wg sync.WaitGroup
	for i := range c.p.Routers {
		at := time.Duration(rng.Int64N(int64(time.Duration(c.p.Routers) * 50 * time.Millisecond)))
		wg.Go(func() {
			time.Sleep(at)
			c.r.Router(i).Signal(syscall.SIGTERM)
		})
	}
	wg.Wait()
	for end := time.Now().Add(endWait); time.Now().Before(end); time.Sleep(lookGap) {
		c.mu.Lock()
		left := slices.Contains(c.start, 0)
		c.mu.Unlock()
		if !left {
			break
		}
	}
	took := time.Since(began)
	rate := float64(c.answered.Load()-before) / took.Seconds() / calm
	c.stop()
	return c.judge(rolloutservice.Status{}, took, rate)
}

func (c *rollingOut) open() (err error) {
	var voters []string
	for i := range c.p.Voters {
		voters = append(voters, process.ProcessName(i))
	}
	var machines []process.Machine
	for i := range c.p.Routers {
		file := fmt.Sprintf("(duties (instances %d) (probe (every 500ms)))\n(leases (longest %dms) (voters (names %s)))\n(control (socket %q))\n(releases (zone %q))",
			c.p.Routers, releaseLease.Milliseconds(), strings.Join(voters, " "), c.s.Folder+"/"+process.ProcessName(i)+".sock", "abc"[i%3:i%3+1])
		machines = append(machines, process.Machine{Skew: process.ClockSkew{Rate: 1}, File: file})
	}
	if c.r, err = process.New(c.p.Seed, c.s, machines, c.p.Log, c.p.Writes, "child-releases"); err != nil {
		return err
	}
	for i := range c.p.Routers {
		c.done.Go(func() { c.supervise(i) })
		for k := range max(1, sessions/c.p.Routers) {
			c.done.Go(func() { c.session(i, k) })
		}
	}
	c.done.Go(c.nodes)
	c.done.Go(c.look)
	return nil
}

// supervise starts a router again that has left in order, as a machine's supervisor does.
func (c *rollingOut) supervise(i int) {
	for {
		select {
		case <-c.over:
			return
		case <-time.After(lookGap):
		}
		if code, ended := c.r.Router(i).ExitCode(); ended && code == 0 && c.r.IsRunning(i) {
			c.out(i, true)
			time.Sleep(200 * time.Millisecond)
			select {
			case <-c.over:
				return
			default:
			}
			if err := c.r.Router(i).Start(); err != nil {
				c.broken("router %d does not start again: %v", i, err)
				return
			}
			c.mu.Lock()
			c.start[i]++
			c.mu.Unlock()
			c.out(i, false)
		}
	}
}

func (c *rollingOut) broken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bad = append(c.bad, fmt.Sprintf(format, args...))
}

// out notes which routers are out by plans, and the most at once.
func (c *rollingOut) out(i int, is bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[i] = is
	n := 0
	for _, one := range c.down {
		if one {
			n++
		}
	}
	c.most = max(c.most, n)
}

// session is a client that writes and reads, and moves to another router when its own goes away.
func (c *rollingOut) session(i, k int) {
	at := i
	s := c.r.Router(at).NewSession(fmt.Sprintf("%d-%d", i, k))
	defer func() {
		c.mu.Lock()
		c.bad = append(c.bad, s.Violations...)
		c.mu.Unlock()
		s.Close()
	}()
	group := (i + k) % c.p.Groups
	for n := 0; ; n++ {
		select {
		case <-c.over:
			return
		case <-time.After(thinkTime):
		}
		var a client.Answer
		var err error
		if n%4 == 0 {
			a, err = s.Write(cluster.ClassWrite, group)
		} else {
			a, err = s.Read(cluster.ClassReadAny, group, false)
		}
		switch {
		case err != nil: // its connection ended, or none came up
			c.cut.Add(1)
			at = (at + 1) % c.p.Routers
			s.SwitchRouter(c.r.Router(at).Address)
		case a.ErrorCode == "":
			c.answered.Add(1)
		case a.ErrorCode == "53300" || a.ErrorCode == "57P03":
			c.refused.Add(1)
		default:
			c.failed.Add(1)
		}
	}
}

// load measures answers a second for a while.
func (c *rollingOut) load(span time.Duration) float64 {
	before := c.answered.Load()
	time.Sleep(span)
	return float64(c.answered.Load()-before) / span.Seconds()
}

// nodes is the operators' side of the databases: a primary that every router calls drained hands over to a replica.
func (c *rollingOut) nodes() {
	for {
		select {
		case <-c.over:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, name := range c.drains() {
			n := c.s.Node(name)
			if n == nil || !n.IsPrimary() {
				continue
			}
			for _, o := range c.s.Database.Nodes() {
				if o.Shard == n.Shard && o != n && !slices.Contains(c.drains(), o.Name) {
					o.Promote()
					c.s.Announce(n, "active")
					c.s.Announce(o, "active")
					break
				}
			}
		}
	}
}

// drains are the nodes that plans drain, as any router that can be asked knows it.
func (c *rollingOut) drains() []string {
	for i := range c.p.Routers {
		if s, err := c.status(i); err == nil && s.Leads {
			return s.DrainedNodes
		}
	}
	return nil
}

func (c *rollingOut) status(i int) (s rolloutservice.Status, err error) {
	err = adminsocket.Ask(c.r.AdminSocket(i), adminsocket.Request{Command: "fleet-status"}, &s)
	return s, err
}

// look watches by the nodes' own word that nothing new comes to one that counts as out of use.
func (c *rollingOut) look() {
	seen := map[string]int{} // commands that had come when it was first out of use
	for {
		select {
		case <-c.over:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for i := range c.p.Routers {
			s, err := c.status(i)
			if err != nil || !s.Leads {
				continue
			}
			away := map[string]bool{}
			for _, p := range s.Plans {
				for _, one := range p.Holding {
					if name, is := strings.CutSuffix(one, " away"); is && p.Kind == rollout.KindNodes.String() {
						away[name] = true
					}
				}
			}
			for name := range away {
				n := c.s.Node(name).QueryCount()
				if was, known := seen[name]; known && n > was {
					c.broken("%d commands came to %s, which counts as out of use", n-was, name)
				}
				seen[name] = n
			}
			for name := range seen {
				if !away[name] {
					delete(seen, name)
				}
			}
		}
	}
}

// word says a word through any router that answers, until it is taken.
func (c *rollingOut) word(w rollout.Command) (err error) {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i := range c.p.Routers {
			if err = sayWord(c.r.AdminSocket(i), w); err == nil {
				return nil
			}
		}
	}
	return err
}

// await waits until all plans are finished, or one halts.
func (c *rollingOut) await(plans []rollout.Plan) (s rolloutservice.Status, err error) {
	last := ""
	for end := time.Now().Add(endWait); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for i := range c.p.Routers {
			one, err := c.status(i)
			if err != nil || !one.Leads || len(one.Plans) < len(plans) {
				continue
			}
			s = one
		}
		finished := 0
		text := ""
		for _, p := range s.Plans {
			text += fmt.Sprintf("  %s: %s, %d of %d done, %s", p.ID, p.State, p.Phases[rollout.PhaseDone.String()], p.Units, strings.Join(p.Holding, ", "))
			if p.State == rollout.StateFinished.String() {
				finished++
			} else if p.Settled() {
				return s, fmt.Errorf("plan %s %s: %s", p.ID, p.State, p.Reason)
			}
		}
		if text != last {
			fmt.Fprintln(c.p.Writes, text)
			last = text
		}
		if finished == len(plans) {
			return s, nil
		}
	}
	return s, errors.New("plans did not end in time:" + last)
}

// lose kills whoever leads, twice, once a unit is out; its supervisor starts it again.
func (c *rollingOut) lose() {
	for n := 0; n < 2; {
		select {
		case <-c.over:
			return
		case <-time.After(lookGap):
		}
		for i := range c.p.Routers {
			s, err := c.status(i)
			if err != nil || !s.Leads || len(s.Plans) == 0 || len(s.Plans[0].Holding) == 0 {
				continue
			}
			c.r.Execute(process.Step{Command: "kill", Args: []string{fmt.Sprint(i)}})
			time.Sleep(time.Second)
			if err := c.r.Execute(process.Step{Command: "start", Args: []string{fmt.Sprint(i)}}); err != nil {
				c.broken("%v", err)
				return
			}
			n++
			time.Sleep(2 * releaseLease)
		}
	}
}

// faults kills and stops routers and spoils links while plans run; a killed one is started again by its supervisor.
func (c *rollingOut) faults() {
	script := process.RandomScript(c.p.Seed, c.p.Routers, 3*time.Second, 30*time.Second)
	if err := c.r.Play(script); err != nil {
		c.broken("%v", err)
	}
}

func (c *rollingOut) stop() {
	select {
	case <-c.over:
		return
	default:
		close(c.over)
	}
	c.done.Wait()
}

func (c *rollingOut) judge(s rolloutservice.Status, took time.Duration, rate float64) (line string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var wrong []error
	restarted := 0
	for i, n := range c.start {
		if n > 0 {
			restarted++
		}
		if n > 1 && !c.p.Faults && !c.p.Lose {
			wrong = append(wrong, fmt.Errorf("router %d went out %d times", i, n))
		}
	}
	if restarted < c.p.Routers && !c.p.Faults && !c.p.Lose {
		wrong = append(wrong, fmt.Errorf("%d of %d routers were restarted", restarted, c.p.Routers))
	}
	if c.most > mostOut {
		wrong = append(wrong, fmt.Errorf("%d routers were out at once, limit %d", c.most, mostOut))
	}
	c.bad = append(c.bad, c.s.Database.Violations()...)
	for _, one := range c.bad[:min(len(c.bad), 5)] {
		wrong = append(wrong, errors.New(one))
	}
	verdict := "holds"
	if len(wrong) > 0 {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof releases: %s; routers=%d nodes=%d restarted=%d drained=%d most_out=%d (limit %d) broken=%d (limit 0) answered=%d refused=%d "+
		"failed=%d connections_ended=%d answers_of_calm=%.2f took_s=%.0f seed=%d", verdict, c.p.Routers, 3*c.p.Groups, restarted, c.p.Nodes, c.most, mostOut, len(c.bad),
		c.answered.Load(), c.refused.Load(), c.failed.Load(), c.cut.Load(), rate, took.Seconds(), c.p.Seed), errors.Join(wrong...)
}

// sayWord says a word through one router.
func sayWord(socket string, w rollout.Command) error {
	text, err := rolloutservice.EncodeCommand(w)
	if err != nil {
		return err
	}
	var token string
	return adminsocket.Ask(socket, adminsocket.Request{Command: "fleet-word", Text: text}, &token)
}
