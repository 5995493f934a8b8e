package process

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/faultnet"
)

// LateBy is how late a packet may be that is very late.
const LateBy = time.Minute

// Rig is router processes in front of one site.
type Rig struct {
	Site    *cluster.Cluster
	Relays  *faultnet.Relays
	Folder  string
	Log     io.Writer
	Writes  io.Writer // what is done, as it is done
	skews   []Skew
	routers []*cluster.Router
	fleets  []string // each process's part fleet of the operator's file
	extra   map[string]func(args []string) error

	mu     sync.Mutex
	marks  []Mark
	killed []bool
}

// Mark is a step that was played, at the world's time.
type Mark struct {
	At   int64
	Step Step
}

// Machine is one process's place: its clock and what its operator's file says beside the fleet's part.
type Machine struct {
	Skew Skew
	File string   // parts of the operator's file beside fleet
	Args []string // of the child beside the rig's own
}

// New starts a site's routers, one on each machine, all members of one fleet by relays. child begins the arguments with
// which this program is a router, as Child reads them.
func New(seed uint64, s *cluster.Cluster, machines []Machine, log, writes io.Writer, child ...string) (r *Rig, err error) {
	r = &Rig{Site: s, Folder: s.Folder, Log: log, Writes: writes, extra: map[string]func([]string) error{}, killed: make([]bool, len(machines))}
	at, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(at)
	number, _ := strconv.Atoi(port)
	if r.Relays, err = faultnet.NewRelays(seed, len(machines), number); err != nil {
		return nil, err
	}
	var join []string
	for i := range min(3, len(machines)) {
		join = append(join, strconv.Quote(r.Relays.Out(i)))
	}
	key := base64.StdEncoding.EncodeToString([]byte("a key for the rig, of 32 bytes, "))
	for i, m := range machines {
		r.fleets = append(r.fleets, fmt.Sprintf("(fleet (name %q) (cluster \"rig\") (listen %q) (advertise %q) (join %s) (keys %q))\n", Name(i),
			r.Relays.Own(i), r.Relays.Out(i), strings.Join(join, " "), key))
		own, _, _ := net.SplitHostPort(r.Relays.Own(i))
		args := append(append([]string{}, child...), "--clock", m.Skew.String(), "--own", own)
		router, err := s.PrepareRouter(Name(i), len(machines), r.fleets[i]+m.File, log, append(args, m.Args...)...)
		if err != nil {
			return r, errors.Join(err, r.Close())
		}
		r.routers, r.skews = append(r.routers, router), append(r.skews, m.Skew)
	}
	var wg sync.WaitGroup
	errs := make([]error, len(machines))
	for i, one := range r.routers {
		wg.Go(func() { errs[i] = one.Start() })
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return r, errors.Join(err, r.Close())
	}
	return r, nil
}

// Name is a process's name.
func Name(i int) string { return fmt.Sprintf("r%d", i) }

// Keep is a folder that lasts through a process's starts.
func (r *Rig) Keep(i int) string { return filepath.Join(r.Folder, "keep-"+Name(i)) }

// Socket is where a process listens for operators, if its file says so.
func (r *Rig) Socket(i int) string { return filepath.Join(r.Folder, Name(i)+".sock") }

// File replaces a process's operator's file beside the fleet's part; SIGHUP or its next start reads it.
func (r *Rig) File(i int, text string) error {
	return r.routers[i].WriteOperatorFile(r.fleets[i] + text)
}

// Router is a process.
func (r *Rig) Router(i int) *cluster.Router { return r.routers[i] }

// Skew is a machine's clock.
func (r *Rig) Skew(i int) Skew { return r.skews[i] }

// On sets who does a verb that the rig does not know.
func (r *Rig) On(verb string, do func(args []string) error) { r.extra[verb] = do }

// Marks are the steps that were played.
func (r *Rig) Marks() []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Mark(nil), r.marks...)
}

// Close ends all processes.
func (r *Rig) Close() error {
	for _, one := range r.routers {
		one.Kill()
	}
	if r.Relays != nil {
		return r.Relays.Close()
	}
	return nil
}

// Play plays a script; its times count from now.
func (r *Rig) Play(s Script) error {
	began := time.Now()
	var wg sync.WaitGroup
	var errs []error
	var mu sync.Mutex
	for _, one := range s {
		time.Sleep(one.At - time.Since(began))
		if r.Writes != nil {
			fmt.Fprintf(r.Writes, "%7.2f s  %s %s\n", time.Since(began).Seconds(), one.Do, strings.Join(one.Args, " "))
		}
		r.mark(one)
		wg.Go(func() { // a start takes a while, and the next step must not wait for it
			if err := r.Do(one); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Errorf("%d ms %s %v: %w", one.At.Milliseconds(), one.Do, one.Args, err))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (r *Rig) mark(one Step) {
	r.mu.Lock()
	r.marks = append(r.marks, Mark{True(), one})
	r.mu.Unlock()
}

// Do does one step now.
func (r *Rig) Do(one Step) error {
	if do := r.extra[one.Do]; do != nil {
		return do(one.Args)
	}
	n := -1
	if len(one.Args) > 0 && one.Args[0] != "*" {
		if v, err := strconv.Atoi(one.Args[0]); err == nil && v >= 0 && v < len(r.routers) {
			n = v
		}
	}
	switch one.Do {
	case "kill":
		r.down(n, true)
		r.routers[n].Kill()
	case "term":
		r.down(n, true)
		return r.routers[n].Stop()
	case "start", "bare":
		if one.Do == "bare" {
			if err := os.RemoveAll(r.Keep(n)); err != nil {
				return err
			}
		}
		if !r.down(n, false) {
			return nil // it is up
		}
		return r.routers[n].Start()
	case "stop":
		r.routers[n].Signal(syscall.SIGSTOP)
	case "cont":
		r.routers[n].Signal(syscall.SIGCONT)
	case "cut":
		r.cut(one.Args)
	case "heal":
		r.each(func(f *faultnet.Fate) { f.Cut = false })
	case "fate":
		return r.fate(one.Args)
	default:
		return fmt.Errorf("unknown step %q", one.Do)
	}
	return nil
}

// down notes whether a process was ended; it tells what it was before.
func (r *Rig) down(n int, to bool) (was bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was, r.killed[n] = r.killed[n], to
	return was
}

// Up tells whether a process was not ended by a step.
func (r *Rig) Up(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.killed[n]
}

func (r *Rig) cut(args []string) {
	matches := func(word string, i int) bool { return word == "*" || word == strconv.Itoa(i) }
	for i := range r.routers {
		for j := range r.routers {
			if i != j && (matches(args[0], i) && matches(args[1], j) || len(args) > 2 && matches(args[0], j) && matches(args[1], i)) {
				f := r.Relays.Get(i, j)
				f.Cut = true
				r.Relays.Set(i, j, f)
			}
		}
	}
}

func (r *Rig) each(change func(f *faultnet.Fate)) {
	for i := range r.routers {
		for j := range r.routers {
			if i != j {
				f := r.Relays.Get(i, j)
				change(&f)
				r.Relays.Set(i, j, f)
			}
		}
	}
}

func (r *Rig) fate(args []string) error {
	var v [5]float64
	for i := range v {
		if i >= len(args) {
			return errors.New("fate wants five figures")
		}
		var err error
		if v[i], err = strconv.ParseFloat(args[i], 64); err != nil {
			return err
		}
	}
	r.each(func(f *faultnet.Fate) {
		f.Loss, f.Twice, f.Corrupt, f.Delay, f.Late, f.LateBy = v[0], v[1], v[2], time.Duration(v[3]*float64(time.Millisecond)), v[4], LateBy
	})
	return nil
}
