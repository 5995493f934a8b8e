package noisyclients

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"cairntiller/internal/testcluster/cluster"
)

const (
	soakWait       = 900 * time.Millisecond  // the longest wait of the clients, within the limit in the routers' settings
	killDelay      = 1700 * time.Millisecond // from SIGTERM to SIGKILL: the settings' longest client timeout, and 0.7 s
	frontDelay     = 400 * time.Millisecond  // from SIGTERM until no new connections arrive
	longestPause   = 150 * time.Millisecond  // for which a router may be held up
	soakLoadLength = 3 * time.Second
	crowdSize      = 60
)

// Soak is a play drawn from a seed: one or two loads after each other, the least memory or more, a crowd in some, signals
// in series, and at the end a planned restart during which all clients go on using their open connections until the
// kill.
type Soak struct {
	seed    uint64
	Program string // executable of the router
	Log     io.Writer
}

// soakPlan is what a seed stands for.
type soakPlan struct {
	memoryMB int
	loads    []Load
	clients  int
}

// allLoads are the loads that a soak draws from.
var allLoads = []Load{HalfCommands, ManyFields, DrippedCommands, EmptyQueries, WithoutID, NewClasses, NewShards, Syncs, NewIDs, LongWaits,
	LongKeys, UnreadAnswers, Reconnects, Connects, Pipelines}

func newSoakPlan(random *rand.Rand) soakPlan {
	plan := soakPlan{memoryMB: []int{32, 32, 64, 192}[random.IntN(4)], clients: ordinaryPerRouter}
	for range 1 + random.IntN(2) {
		plan.loads = append(plan.loads, allLoads[random.IntN(len(allLoads))])
	}
	if random.IntN(3) == 0 {
		plan.clients = crowdSize
	}
	return plan
}

// String describes the plan.
func (p soakPlan) String() string {
	return fmt.Sprintf("%d MB, loads %q, %d clients", p.memoryMB, p.loads, p.clients)
}

// Play plays the soak of a seed, with all else as in s. It returns a line about it, and an error that joins all that broke a
// rule.
func (s Soak) Play(seed uint64) (line string, err error) {
	s.seed = seed
	random := rand.New(rand.NewPCG(s.seed, 5))
	plan := newSoakPlan(random)
	c, router, err := startRouter(busyNodes(s.seed, plan.memoryMB, s.Program), s.Log)
	if err != nil {
		return "", err
	}
	defer c.Close()
	stop := make(chan struct{})
	clients := &ordinaryGroup{address: router.Address, longestWait: soakWait, stop: stop}
	seen := make(chan Seen, 1)
	go func() { seen <- clients.run(plan.clients) }()
	endLast, err := playLoads(plan.loads, router, s.seed, random)
	if err != nil {
		close(stop)
		return "", err
	}
	peak, memoryErr := endInTime(router, clients, random)
	close(stop)
	endLast()
	result := Result{During: <-seen, PeakMemory: peak, Violations: c.Database.Violations()}
	line = fmt.Sprintf("%s: %s", plan, result)
	return line, errors.Join(memoryErr, checkSoak(plan, result))
}

// playLoads plays the loads one after the other, with signals to the router meanwhile. The last one goes on until the
// returned function is called.
func playLoads(loads []Load, router *cluster.Router, seed uint64, random *rand.Rand) (endLast func(), err error) {
	for i, load := range loads {
		end, err := startLoad(load, seed+uint64(i), router.Address)
		if err != nil {
			return nil, err
		}
		sendSignals(router, soakLoadLength, random)
		endLast = end
		if i < len(loads)-1 {
			end()
		}
	}
	return endLast, nil
}

// sendSignals sends series of signals that a running router has to stand, for a time.
func sendSignals(router *cluster.Router, length time.Duration, random *rand.Rand) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
		for range 1 + random.IntN(3) {
			switch random.IntN(4) {
			case 0:
				router.Signal(syscall.SIGHUP)
			case 1:
				router.Signal(syscall.SIGUSR1)
			default:
				router.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(random.Int64N(int64(longestPause))))
				router.Signal(syscall.SIGCONT)
			}
			time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		}
	}
}

// endInTime tells the router to end, in some plays more than once, and kills it as early as the platform may. It returns
// the largest memory of the router until then.
func endInTime(router *cluster.Router, clients *ordinaryGroup, random *rand.Rand) (peak int64, err error) {
	clients.draining.Store(true)
	time.AfterFunc(frontDelay, func() { clients.frontMoved.Store(true) })
	told := time.Now()
	router.Signal(syscall.SIGTERM)
	for range random.IntN(3) {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		router.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
	}
	for time.Since(told) < killDelay {
		if _, exited := router.ExitCode(); exited {
			break
		}
		used, err := router.PeakMemory()
		if err != nil {
			break // it is just ending
		}
		peak = used
		time.Sleep(20 * time.Millisecond)
	}
	code, exited := router.ExitCode()
	router.Kill()
	if exited && code != 0 {
		return peak, fmt.Errorf("the router exited with code %d", code)
	}
	return peak, nil
}

// checkSoak returns what broke a rule. While the router is held up by signals an answer may be late, but not lost.
func checkSoak(plan soakPlan, result Result) error {
	var broken []error
	if limit := int64(plan.memoryMB) << 20; result.PeakMemory > limit {
		broken = append(broken, fmt.Errorf("the router used %d MB of %d", result.PeakMemory>>20, plan.memoryMB))
	}
	if lost := result.During.Lost; lost > 0 {
		broken = append(broken, fmt.Errorf("%d commands were lost", lost))
	}
	if result.During.Served == 0 {
		broken = append(broken, errors.New("nobody was served"))
	}
	for _, violation := range result.Violations {
		broken = append(broken, errors.New(violation))
	}
	return errors.Join(broken...)
}
