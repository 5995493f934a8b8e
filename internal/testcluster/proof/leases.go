package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/anishathalye/porcupine"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/lease"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/supervisor"
	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/process"
	"cairntiller/internal/testcluster/resource"
)

// The limits that the proof of leases holds the routers to.
const (
	leaseLength  = 2 * time.Second
	leaseDrift   = 0.01
	mostTakeover = leaseLength + time.Second
	aimHandOver  = 200 * time.Millisecond
	actEvery     = 40 * time.Millisecond
	actBound     = 300 * time.Millisecond
	afterStop    = 200_000 // us after a process goes on in which one act of its may come late: the check was before
	tasks        = 3       // leases under which routers act themselves
	works        = 2       // leases under which commands run
)

// Leases are what a run of the proof is made of.
type Leases struct {
	Seed    uint64
	Voters  int
	Others  int
	Span    time.Duration  // of mixed faults
	Script  process.Script // played instead of them
	Lasting bool
	Unkept  bool    // a fault on purpose: commands run without a supervisor
	Times   int     // takeovers and hand-overs measured
	Rules   bool    // judge the rules alone, and no limit in real time
	Rate    float64 // of the first machine's clock, 0 for one within the bound
	Bulk    int     // leases that each process without a vote wants beside the others
	Log     io.Writer
	Writes  io.Writer
}

// LeaseChild is the program that the proof starts as a router: it acts under each task's lease while it has it.
func LeaseChild(at process.ChildOptions, address, name string, bulk int) error {
	return process.RunChild(at, nil, func(l *leaseservice.Service) {
		for n := range bulk {
			if _, err := l.RequestLease(lease.Request{Lease: fmt.Sprint("bulk-", n), Length: leaseLength.Microseconds()}, nil); err != nil {
				fmt.Fprintln(os.Stderr, "no lease:", err)
			}
		}
		for n := range tasks {
			go act(l, address, name, fmt.Sprint("task-", n))
		}
	})
}

// act wants a lease for good and acts under it again and again.
func act(l *leaseservice.Service, address, name, task string) {
	t, err := l.RequestLease(lease.Request{Lease: task, Length: leaseLength.Microseconds()}, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "no lease:", err)
		return
	}
	c := resource.NewClient(address, name)
	for ; ; time.Sleep(actEvery) {
		if term, _ := t.Held(); term == 0 || c.Announce(task) != nil {
			continue
		}
		err := t.Do(context.Background(), actBound, func(_ context.Context, term uint64) error {
			_, err := c.Execute(term)
			return err
		})
		if err == nil {
			c.Finish()
		}
	}
}

// Work is the command that runs under a lease: it lasts until it is ended, or its work is done.
func Work(address, holder, name string, span time.Duration) error {
	term, err := strconv.ParseUint(os.Getenv("CAIRNTILLER_TERM"), 10, 64)
	if err != nil {
		return err
	}
	c := resource.NewClient(address, holder)
	if err := c.BeginUsage(name, term); err != nil {
		return err
	}
	time.Sleep(span)
	return nil
}

// BadKeep runs a command as a supervisor that heeds no time; it is the fault on purpose.
func BadKeep(command []string) error {
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	c := exec.Command(command[0], command[1:]...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	go func() { // it ends with the proof
		io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	return c.Run()
}

// tribunal is a run under way.
type tribunal struct {
	p     Leases
	s     *cluster.Cluster
	r     *process.Harness
	res   *resource.Server
	rng   *rand.Rand
	over  chan struct{}
	done  sync.WaitGroup
	mu    sync.Mutex
	holds map[string]*exec.Cmd // askers by machine and lease
}

// open starts what a run needs.
func (c *tribunal) open() (err error) {
	c.over, c.holds, c.rng = make(chan struct{}), map[string]*exec.Cmd{}, rand.New(rand.NewPCG(c.p.Seed, 8))
	if c.s, err = cluster.New(c.p.Seed, 1, 2); err != nil {
		return err
	}
	if c.res, err = resource.Start(process.TrueClock); err == nil {
		err = c.start()
	}
	if err != nil {
		c.close()
	}
	return err
}

func (c *tribunal) close() {
	c.stop()
	if c.r != nil {
		c.r.Close()
	}
	if c.res != nil {
		c.res.Close()
	}
	c.s.Close()
}

// Run plays the proof and returns its closing line; the error says which limits do not hold.
func (p Leases) Run() (line string, err error) {
	c := &tribunal{p: p}
	if err = c.open(); err != nil {
		return "", err
	}
	defer c.close()
	if err = c.await(20 * time.Second); err != nil {
		return "", err
	}
	began := process.TrueClock()
	script := p.Script
	if script == nil {
		script = p.Draw()
	}
	if err = c.r.Play(script); err != nil {
		return "", err
	}
	faults := process.TrueClock()
	if err = c.await(30 * time.Second); err != nil {
		return "", err
	}
	took, handed, err := c.measure()
	if err != nil {
		return "", err
	}
	c.stop()
	return c.judge(began, faults, took, handed)
}

func (c *tribunal) start() (err error) {
	n := c.p.Voters + c.p.Others
	var voters []string
	for i := range c.p.Voters {
		voters = append(voters, process.ProcessName(i))
	}
	var machines []process.Machine
	for i := range n {
		skew := process.ClockSkew{Rate: 1 + leaseDrift*(2*c.rng.Float64()-1), Offset: time.Duration(c.rng.Int64N(int64(24 * time.Hour)))}
		if i == 0 && c.p.Rate > 0 {
			skew.Rate = c.p.Rate
		}
		bulk := c.p.Bulk
		if i < c.p.Voters {
			bulk = 0
		}
		file := c.file(voters, 1, nil, i)
		machines = append(machines, process.Machine{Skew: skew, File: file, Args: []string{"--acts", c.res.Address(), "--name", process.ProcessName(i), "--bulk", strconv.Itoa(bulk)}})
	}
	c.r, err = process.New(c.p.Seed, c.s, machines, c.p.Log, c.p.Writes, "child-leases")
	if err != nil {
		return err
	}
	c.r.HandleCommand("free", func(args []string) error { c.free(args[0]); return nil })
	c.r.HandleCommand("stop-hold", func(args []string) error { c.signal(args[0], syscall.SIGSTOP); return nil })
	c.r.HandleCommand("cont-hold", func(args []string) error { c.signal(args[0], syscall.SIGCONT); return nil })
	c.r.HandleCommand("stop-at", func(args []string) error { return c.at(args, "stop") })
	c.r.HandleCommand("kill-at", func(args []string) error { return c.at(args, "kill") })
	c.r.HandleCommand("voters", func(args []string) error { return c.voters(args) })
	c.r.HandleCommand("up", func(args []string) error { return c.up() })
	for i := range n {
		for w := range works {
			c.done.Go(func() { c.hold(i, fmt.Sprint("work-", w)) })
		}
	}
	return nil
}

func init() {
	process.RegisterCommand("free", "LEASE: ask its holder to give it up")
	process.RegisterCommand("stop-hold", "N/LEASE: hold the asker of a command still")
	process.RegisterCommand("cont-hold", "N/LEASE: let it go on")
	process.RegisterCommand("stop-at", "LEASE: hold the router still that has it")
	process.RegisterCommand("kill-at", "LEASE: kill the router that has it")
	process.RegisterCommand("voters", "NUMBER NAMES BEFORE: another set of voters in every file, names joined by commas")
	process.RegisterCommand("up", "let every process go on, and start those that were killed")
}

// file is what a machine's operator says of leases.
func (c *tribunal) file(voters []string, number int, before []string, i int) string {
	was := ""
	if len(before) > 0 {
		was = fmt.Sprintf("(before %s)", strings.Join(before, " "))
	}
	return fmt.Sprintf("(leases (longest %dms) (drift %g) %s (voters (number %d) (names %s) %s) (roll-call (every 5s)))\n(control (socket %q))",
		leaseLength.Milliseconds(), leaseDrift*100, c.folder(i), number, strings.Join(voters, " "), was, c.s.Folder+"/"+process.ProcessName(i)+".sock")
}

// folder is a machine's lasting place, where it has one.
func (c *tribunal) folder(i int) string {
	if !c.p.Lasting {
		return ""
	}
	return fmt.Sprintf("(folder %q)", c.s.Folder+"/keep-"+process.ProcessName(i))
}

// voters brings another set of voters to every process.
func (c *tribunal) voters(args []string) error {
	number, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for i := range c.p.Voters + c.p.Others {
		if err := c.r.WriteOperatorFile(i, c.file(strings.Split(args[1], ","), number, strings.Split(args[2], ","), i)); err != nil {
			return err
		}
		c.r.Router(i).Signal(syscall.SIGHUP)
	}
	return nil
}

// knows asks a router for what the voters know.
func (c *tribunal) knows(i int) (o leaseservice.Overview, err error) {
	err = adminsocket.Ask(c.r.AdminSocket(i), adminsocket.Request{Command: "leases"}, &o)
	return o, err
}

// Draw makes the script of mixed faults.
func (p Leases) Draw() process.Script {
	n := p.Voters + p.Others
	step := func(at time.Duration, do string, args ...string) process.Step {
		return process.Step{At: at, Command: do, Args: args}
	}
	s := process.RandomScript(p.Seed, n, leaseLength/2, p.Span,
		func(rng *rand.Rand, at time.Duration) []process.Step {
			return []process.Step{step(at, "free", fmt.Sprint("task-", rng.IntN(tasks)))}
		},
		func(rng *rand.Rand, at time.Duration) []process.Step {
			who := fmt.Sprintf("%d/work-%d", rng.IntN(n), rng.IntN(works))
			return []process.Step{step(at, "stop-hold", who), step(at+time.Duration(rng.Int64N(int64(2*leaseLength))), "cont-hold", who)}
		},
		func(rng *rand.Rand, at time.Duration) []process.Step {
			return []process.Step{step(at, "stop-at", fmt.Sprint("work-", rng.IntN(works)))}
		},
		func(rng *rand.Rand, at time.Duration) (all []process.Step) {
			if rng.IntN(2) == 0 {
				return nil
			}
			for i := range p.Voters { // all voters at once
				all = append(all, step(at, "kill", strconv.Itoa(i)), step(at+time.Duration(rng.Int64N(int64(leaseLength))), "start", strconv.Itoa(i)))
			}
			return all
		})
	s = append(s, step(p.Span, "up"))
	return s
}

// up lets all processes go on and starts those that are down.
func (c *tribunal) up() error {
	var errs []error
	for i := range c.p.Voters + c.p.Others {
		c.r.Router(i).Signal(syscall.SIGCONT)
		errs = append(errs, c.r.Execute(process.Step{Command: "start", Args: []string{strconv.Itoa(i)}}))
	}
	c.mu.Lock()
	for _, one := range c.holds {
		one.Process.Signal(syscall.SIGCONT)
	}
	c.mu.Unlock()
	return errors.Join(errs...)
}

// holder is who acted on a lease last, as the resource saw it; -1 for nobody.
func (c *tribunal) holder(name string) int {
	who, at := "", int64(0)
	for _, a := range c.res.Operations() {
		if a.Lease == name && a.Accepted && a.CheckedAt > at {
			who, at = a.Holder, a.CheckedAt
		}
	}
	for _, r := range c.res.Usages() {
		if r.Lease == name && r.Begin > at {
			who, at = r.Holder, r.Begin
		}
	}
	n, err := strconv.Atoi(strings.TrimPrefix(who, "r"))
	if err != nil {
		return -1
	}
	return n
}

func (c *tribunal) at(args []string, do string) error {
	if n := c.holder(args[0]); n >= 0 && c.r.IsRunning(n) {
		return c.r.Execute(process.Step{Command: do, Args: []string{strconv.Itoa(n)}})
	}
	return nil
}

// hold runs a command under a lease on one machine, again and again.
func (c *tribunal) hold(i int, name string) {
	self, err := os.Executable()
	if err != nil {
		return
	}
	key := fmt.Sprintf("%d/%s", i, name)
	for {
		select {
		case <-c.over:
			return
		case <-time.After(50 * time.Millisecond):
		}
		keep := "keep"
		if c.p.Unkept {
			keep = "bad-keep"
		}
		cmd := exec.Command(self, "hold", "--socket", c.r.AdminSocket(i), "--clock", c.r.ClockSkew(i).String(), "--keeper", keep, "--length", leaseLength.String(),
			"--acts", c.res.Address(), "--holder", process.ProcessName(i), name)
		cmd.Stderr = c.p.Log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		c.mu.Lock()
		select {
		case <-c.over: // none starts once they are being ended
			c.mu.Unlock()
			return
		default:
		}
		if err := cmd.Start(); err != nil {
			c.mu.Unlock()
			return
		}
		c.holds[key] = cmd
		c.mu.Unlock()
		cmd.Wait()
		c.mu.Lock()
		delete(c.holds, key)
		c.mu.Unlock()
	}
}

func (c *tribunal) signal(key string, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if one := c.holds[key]; one != nil {
		one.Process.Signal(s)
	}
}

// stop ends the commands and their askers.
func (c *tribunal) stop() {
	c.mu.Lock()
	select {
	case <-c.over:
	default:
		close(c.over)
	}
	for _, one := range c.holds {
		one.Process.Kill()
	}
	c.mu.Unlock()
	c.done.Wait()
}

// free asks through some router that is up.
func (c *tribunal) free(name string) {
	for i := range c.p.Voters + c.p.Others {
		if !c.r.IsRunning(i) {
			continue
		}
		var n leaseservice.LeaseStatus
		if adminsocket.Ask(c.r.AdminSocket(i), adminsocket.Request{Command: "lease-free", Name: name}, &n) == nil {
			return
		}
	}
}

// await waits until every task is acted under, and every work has begun.
func (c *tribunal) await(most time.Duration) error {
	for end := time.Now().Add(most); ; time.Sleep(50 * time.Millisecond) {
		missing := map[string]bool{}
		for n := range tasks {
			missing[fmt.Sprint("task-", n)] = true
		}
		for n := range works {
			missing[fmt.Sprint("work-", n)] = true
		}
		for _, r := range c.res.Usages() {
			delete(missing, r.Lease)
		}
		since := process.TrueClock() - 500_000
		for _, a := range c.res.Operations() {
			if a.Accepted && a.CheckedAt > since {
				delete(missing, a.Lease)
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %v nobody acts under %v", most, missing)
		}
	}
}

// next is when a lease was first acted under with another term after a time; 0 for not yet.
func (c *tribunal) next(name string, term uint64, after int64) (at int64) {
	for _, a := range c.res.Operations() {
		if a.Lease == name && a.Accepted && a.Term > term && a.CheckedAt > after && (at == 0 || a.CheckedAt < at) {
			at = a.CheckedAt
		}
	}
	return at
}

// last is the newest act under a lease.
func (c *tribunal) last(name string) (last resource.Operation) {
	for _, a := range c.res.Operations() {
		if a.Lease == name && a.Accepted && a.CheckedAt > last.CheckedAt {
			last = a
		}
	}
	return last
}

// measure times how soon a lease has a new holder after its own was killed, and after it was asked to give it up.
func (c *tribunal) measure() (took, handed []time.Duration, err error) {
	wait := func(name string, term uint64, after int64) (int64, error) {
		for end := time.Now().Add(4 * mostTakeover); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if at := c.next(name, term, after); at > 0 {
				return at, nil
			}
		}
		c.show()
		return 0, fmt.Errorf("no new holder of %s within %v", name, 4*mostTakeover)
	}
	for n := range c.p.Times {
		time.Sleep(3 * leaseLength) // a voter that was killed has abstained by then
		name := fmt.Sprint("task-", n%tasks)
		was := c.last(name)
		i := c.holder(name)
		began := process.TrueClock()
		if err := c.r.Execute(process.Step{Command: "kill", Args: []string{strconv.Itoa(i)}}); err != nil {
			return nil, nil, err
		}
		at, err := wait(name, was.Term, began)
		if err != nil {
			return nil, nil, err
		}
		took = append(took, time.Duration(at-began)*time.Microsecond)
		if err := c.r.Execute(process.Step{Command: "start", Args: []string{strconv.Itoa(i)}}); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(2 * leaseLength)
	for n := range c.p.Times {
		name := fmt.Sprint("task-", n%tasks)
		was := c.last(name)
		c.free(name)
		at, err := wait(name, was.Term, was.CheckedAt)
		if err != nil {
			return nil, nil, err
		}
		gone := was.CheckedAt
		for _, a := range c.res.Operations() {
			if a.Lease == name && a.Term == was.Term {
				gone = max(gone, a.CheckedAt)
			}
		}
		handed = append(handed, time.Duration(at-gone)*time.Microsecond)
		time.Sleep(leaseLength)
	}
	return took, handed, nil
}

// show prints what the voters know, for whoever looks into a failure.
func (c *tribunal) show() {
	for i := range c.p.Voters + c.p.Others {
		o, err := c.knows(i)
		fmt.Fprintf(c.p.Writes, "%s knows: %+v %v\n", process.ProcessName(i), o, err)
	}
}

// share is the part of a time in which somebody acted under a lease: gaps of over ten acts count as nobody.
func (c *tribunal) share(from, to int64) float64 {
	covered := int64(0)
	for n := range tasks {
		var at []int64
		for _, a := range c.res.Operations() {
			if a.Lease == fmt.Sprint("task-", n) && a.Accepted && a.CheckedAt >= from && a.CheckedAt <= to {
				at = append(at, a.CheckedAt)
			}
		}
		slices.Sort(at)
		for i := 1; i < len(at); i++ {
			if gap := at[i] - at[i-1]; gap <= 10*actEvery.Microseconds() {
				covered += gap
			}
		}
	}
	return float64(covered) / float64(tasks*(to-from))
}

// late counts the refused acts, and those among them that no stop of their process explains.
func (c *tribunal) late() (refused, unexplained int) {
	for _, a := range c.res.Operations() {
		if a.Accepted {
			continue
		}
		refused++
		explained := false
		for _, m := range c.r.Played() {
			does := m.Step.Command == "cont" && len(m.Step.Args) > 0 && "r"+m.Step.Args[0] == a.Holder || m.Step.Command == "up"
			explained = explained || does && a.CheckedAt >= m.At && a.CheckedAt < m.At+afterStop
		}
		if !explained {
			unexplained++
		}
	}
	return refused, unexplained
}

// linear checks each lease's history: acts under terms that only grow, one holder a term.
func (c *tribunal) linear() bool {
	type in struct {
		holder string
		term   uint64
	}
	type state struct {
		holder string
		term   uint64
	}
	model := porcupine.Model{
		Init: func() any { return state{} },
		Step: func(s, input, output any) (bool, any) {
			was, act := s.(state), input.(in)
			fits := act.term > was.term || act.term == was.term && act.holder == was.holder
			if fits != output.(bool) {
				return false, s
			}
			if fits {
				return true, state(act)
			}
			return true, s
		},
	}
	clients := map[string]int{}
	byLease := map[string][]porcupine.Operation{}
	for _, a := range c.res.Operations() {
		if _, known := clients[a.Holder]; !known {
			clients[a.Holder] = len(clients)
		}
		byLease[a.Lease] = append(byLease[a.Lease], porcupine.Operation{ClientId: clients[a.Holder], Input: in{a.Holder, a.Term},
			Call: a.AnnouncedAt, Output: a.Accepted, Return: a.KnownAt})
	}
	for _, ops := range byLease {
		if !porcupine.CheckOperations(model, ops) {
			return false
		}
	}
	return true
}

func spread(all []time.Duration) (half, worst time.Duration) {
	if len(all) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

func (c *tribunal) judge(began, faults int64, took, handed []time.Duration) (line string, err error) {
	runs := c.res.Usages()
	pairs, longest := resource.Overlaps(runs)
	refused, unexplained := c.late()
	linear := c.linear()
	share := c.share(began, faults)
	tookHalf, tookWorst := spread(took)
	handHalf, handWorst := spread(handed)
	var wrong []error
	if pairs > 0 {
		wrong = append(wrong, fmt.Errorf("%d runs overlapped, by %.3f s at the longest", pairs, float64(longest)/1e6))
	}
	if unexplained > 0 {
		wrong = append(wrong, fmt.Errorf("%d acts came under a term that was over", unexplained))
	}
	if !linear {
		wrong = append(wrong, errors.New("the acts are not linearizable"))
	}
	if len(runs) == 0 || len(c.res.Operations()) == 0 {
		wrong = append(wrong, errors.New("nothing was done under a lease"))
	}
	if tookWorst > mostTakeover && !c.p.Rules {
		wrong = append(wrong, fmt.Errorf("a lease had no holder for %v after a kill, limit %v", tookWorst, mostTakeover))
	}
	verdict := "holds"
	if len(wrong) > 0 {
		verdict = "FAILS"
	}
	packets, dropped := c.r.Relays.PacketCounts()
	line = fmt.Sprintf("proof leases: %s; voters=%d processes=%d overlaps=%d (limit 0) acts=%d runs=%d acts_under_old_term=%d (refused %d, after a stop) "+
		"linearizable=%v held_share=%.2f (under faults) takeover_s p50=%.2f worst=%.2f (limit %.1f) hand_over_ms p50=%d worst=%d (aim %d) "+
		"packets=%d lost=%d lasting=%v seed=%d", verdict, c.p.Voters, c.p.Voters+c.p.Others, pairs, len(c.res.Operations()), len(runs), unexplained, refused,
		linear, share, tookHalf.Seconds(), tookWorst.Seconds(), mostTakeover.Seconds(), handHalf.Milliseconds(), handWorst.Milliseconds(),
		aimHandOver.Milliseconds(), packets, dropped, c.p.Lasting, c.p.Seed)
	return line, errors.Join(wrong...)
}

// HoldWork is the asker of a command in the proof: what cairntiller lease hold does, on a machine with a clock of its
// own.
func HoldWork(socket, clock, keep, address, holder, name string, length time.Duration) (int, error) {
	self, err := os.Executable()
	if err != nil {
		return 1, err
	}
	span := 2 * leaseLength
	if keep != "keep" { // what outlasts its lease has to be at work when the lease has passed on
		span *= 5
	}
	return supervisor.RunWithLease(socket, name, supervisor.Options{Length: length}, []string{self, keep, "--clock", clock},
		[]string{self, "work", "--acts", address, "--holder", holder, "--span", span.String(), name})
}

// Keep is the supervisor of a command in the proof.
func Keep(clock string, room time.Duration, command []string) (int, error) {
	skew, err := process.ParseClockSkew(clock)
	if err != nil {
		return 1, err
	}
	return supervisor.Supervise(command, os.Stdin, skew.Clock, room), nil
}
