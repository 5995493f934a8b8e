// Package proof holds the proofs: each provokes the hard cases that a subsystem is for, measures, and says in one line
// whether its limits hold.
package proof

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/serve"
	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/database"
	"cairntiller/internal/testcluster/faultnet"
)

// The limits that the proof of shared duties holds the routers to.
const (
	mostUnprobed = 5 * time.Second
	aimUnprobed  = 3 * time.Second
	mostShare    = 1.2 / 3 // of the probes of three routers that share nothing
)

// Duties are what a run of the proof is made of.
type Duties struct {
	Seed   uint64
	Boxes  int
	Short  bool
	Every  time.Duration // between probes of a box
	Apart  bool          // a fault on purpose: the instances never hear one another
	Log    io.Writer
	Writes io.Writer // what is seen on the way
}

// result is what a run measured.
type result struct {
	longest time.Duration
	where   string
	taken   []time.Duration // of boxes that were without their owner: until the next probe
	rate    float64         // probes a box a second, over all
	calm    float64         // the same before any fault
}

// Child is the program that the proof starts as a router: it cuts its own network where it is told so on standard
// input ("cut", "heal"), and ends with the one that started it.
func Child(file string) error {
	n := faultnet.New(1)
	go func() {
		lines := bufio.NewScanner(os.Stdin)
		for lines.Scan() {
			switch lines.Text() {
			case "cut":
				n.Cut(true, true)
			case "heal":
				n.Cut(false, false)
			}
		}
		os.Exit(3)
	}()
	return serve.Run(file, serve.TestHooks{Wrap: n.WrapTransport})
}

// Run plays the proof and returns its closing line; the error says which limits do not hold.
func (p Duties) Run() (line string, err error) {
	var shared, alone result
	var failed error
	both := sync.WaitGroup{}
	both.Go(func() { alone, failed = p.play(false) })
	shared, err = p.play(true)
	both.Wait()
	if err = errors.Join(err, failed); err != nil {
		return "", err
	}
	slices.Sort(shared.taken)
	half, worst := time.Duration(0), time.Duration(0)
	if n := len(shared.taken); n > 0 {
		half, worst = shared.taken[n/2], shared.taken[n-1]
	}
	var faults []error
	if shared.longest > mostUnprobed {
		faults = append(faults, fmt.Errorf("a box went unprobed for %v, limit %v", shared.longest, mostUnprobed))
	}
	if share := shared.rate / alone.rate; !(share <= mostShare) {
		faults = append(faults, fmt.Errorf("%.2f of the unshared probes, limit %.2f", share, mostShare))
	}
	verdict := "holds"
	if len(faults) > 0 {
		verdict = "FAILS"
	}
	line = fmt.Sprintf("proof duties: %s; longest_unprobed_s=%.1f (limit %.0f, aim %.0f, %s) probes_per_box_s=%.2f calm %.2f "+
		"(unshared %.2f, share %.2f, limit %.2f) takeover_s p50=%.1f worst=%.1f of %d boxes=%d seed=%d", verdict,
		shared.longest.Seconds(), mostUnprobed.Seconds(), aimUnprobed.Seconds(), shared.where, shared.rate, shared.calm,
		alone.rate, shared.rate/alone.rate, mostShare, half.Seconds(), worst.Seconds(), len(shared.taken), p.Boxes, p.Seed)
	return line, errors.Join(faults...)
}

// crew is three routers in front of one site.
type crew struct {
	p       Duties
	s       *cluster.Cluster
	routers []*cluster.Router
	began   int64
	marks   []mark
	shared  bool
}

// mark is something done at a time.
type mark struct {
	at   int64
	what string
	hurt bool // boxes lose their owner by it
}

func (c *crew) mark(what string, hurt bool) {
	c.marks = append(c.marks, mark{c.s.Database.Now(), what, hurt})
	if c.shared {
		fmt.Fprintf(c.p.Writes, "%6.1f s  %s\n", float64(c.s.Database.Now()-c.began)/1e6, what)
	}
}

// play runs three routers through the faults; unshared ones run only as long as their probes need to be counted.
func (p Duties) play(shared bool) (res result, err error) {
	s, err := cluster.New(p.Seed, p.Boxes, 1)
	if err != nil {
		return res, err
	}
	defer s.Close()
	c := &crew{p: p, s: s, shared: shared}
	if err := c.start(); err != nil {
		return res, err
	}
	rest := func(long, short time.Duration) {
		if p.Short {
			long = short
		}
		time.Sleep(long)
	}
	rest(4*time.Second, 3*time.Second)
	c.began = s.Database.Now()
	c.mark(map[bool]string{true: "three routers share", false: "three routers share nothing"}[shared], false)
	rest(10*time.Second, 6*time.Second)
	calm := s.Database.Now()
	if shared {
		order := []int{int(p.Seed % 3), int((p.Seed + 1) % 3), int((p.Seed + 2) % 3)}
		victim := c.routers[order[0]]
		c.mark("one is killed", true)
		victim.Kill()
		rest(10*time.Second, 5*time.Second)
		if !p.Short {
			c.mark("it starts again", false)
			if err := victim.Start(); err != nil {
				return res, err
			}
			rest(10*time.Second, 0)
			c.mark("another is stopped", true)
			c.routers[order[1]].Signal(syscall.SIGSTOP)
			rest(10*time.Second, 0)
			c.mark("it goes on", false)
			c.routers[order[1]].Signal(syscall.SIGCONT)
			rest(10*time.Second, 0)
		}
		c.mark("the third is cut off from the others", true)
		c.routers[order[2]].SendLine("cut")
		rest(10*time.Second, 4*time.Second)
		c.mark("the cut is mended", false)
		c.routers[order[2]].SendLine("heal")
		rest(15*time.Second, 8*time.Second)
		c.mark("the end", false)
	}
	return c.measure(calm), nil
}

func (c *crew) start() error {
	key := base64.StdEncoding.EncodeToString([]byte("a key for the proof, of 32 bytes"))
	var places []string
	for range 3 {
		at, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		places = append(places, at)
	}
	for i, at := range places {
		cluster := "proof"
		if !c.shared || c.p.Apart {
			cluster = fmt.Sprint("proof-", i)
		}
		file := fmt.Sprintf("(fleet (cluster %q) (listen %q) (join %q) (keys %q))\n(duties (instances 3) (probe (every %dms)))\n",
			cluster, at, strings.Join(places, `" "`), key, c.p.Every.Milliseconds())
		file = strings.ReplaceAll(file, `\"`, `"`)
		r, err := c.s.StartRouter(fmt.Sprint("r", i), 3, file, c.p.Log, "child")
		if err != nil {
			return err
		}
		c.routers = append(c.routers, r)
	}
	return nil
}

// measure goes by what the boxes saw.
func (c *crew) measure(calm int64) (res result) {
	end := c.s.Database.Now()
	count, early := 0, 0
	for _, n := range c.s.Database.Nodes() {
		last := c.began
		probes := append(n.ProbeTimes(), end)
		for i, at := range probes {
			if at < c.began {
				continue
			}
			if i < len(probes)-1 {
				count++
				if at < calm {
					early++
				}
			}
			if gap := time.Duration(at-last) * time.Microsecond; gap > res.longest {
				res.longest, res.where = gap, c.at(last)
			}
			last = at
		}
		res.taken = append(res.taken, c.takeovers(n)...)
	}
	span := float64(end-c.began) / 1e6 * float64(c.p.Boxes)
	res.rate = float64(count) / span
	res.calm = float64(early) / (float64(calm-c.began) / 1e6 * float64(c.p.Boxes))
	return res
}

// at is what had been done last by a time.
func (c *crew) at(when int64) (what string) {
	for _, m := range c.marks {
		if m.at <= when+int64(time.Second/time.Microsecond) {
			what = m.what
		}
	}
	return "when " + what
}

// takeovers are the times from a harm to a box's next probe, for a box that missed its rhythm by it.
func (c *crew) takeovers(n *database.Node) (taken []time.Duration) {
	probes := n.ProbeTimes()
	for _, m := range c.marks {
		if !m.hurt {
			continue
		}
		i, _ := slices.BinarySearch(probes, m.at)
		if i == 0 || i >= len(probes) {
			continue
		}
		if usual := c.p.Every.Microseconds() * 13 / 10; probes[i]-probes[i-1] > usual {
			taken = append(taken, time.Duration(probes[i]-m.at)*time.Microsecond)
		}
	}
	return taken
}
