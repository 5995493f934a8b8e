// Package cluster puts stand-in nodes and a stand-in discovery together with router processes in front of them, all on
// free ports of loopback, for the demo, proofs and tests.
package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/testcluster/client"
	"cairntiller/internal/testcluster/database"
	"cairntiller/internal/testcluster/discovery"
)

// The command groups of every site, by their names.
const (
	ReadAny = "board"
	ReadOwn = "own"
	Write   = "entry"
)

const (
	grace     = 2_000_000              // us after which a draining node may get nothing new
	work      = 2 * time.Millisecond   // that a command takes on one of a node's cores
	cores     = 4                      // of a node
	startWait = 10 * time.Second       // for a router to be ready
	stopWait  = 3 * time.Second        // for a router to leave in order
	timeout   = 900 * time.Millisecond // that clients wait
)

// Site is nodes and their discovery.
type Site struct {
	Cluster   *database.Cluster
	Discovery *discovery.Server
	Folder    string // for files; it goes with Close
	groups    int
	routers   []*Router
}

// New makes a site of so many groups with so many nodes each, the first of each leading.
func New(seed uint64, groups, members int) (s *Site, err error) {
	s = &Site{Cluster: database.New(seed, grace), groups: groups}
	if s.Discovery, err = discovery.Start(); err != nil {
		return nil, err
	}
	if s.Folder, err = os.MkdirTemp("", "site"); err != nil {
		return nil, err
	}
	for g := range groups {
		for m := range members {
			n, err := s.Cluster.Add(fmt.Sprintf("s-%d%c", g, 'a'+m), "abc"[m%3:m%3+1], g, cores, work)
			if err != nil {
				return nil, errors.Join(err, s.Close())
			}
			s.List(n, "active")
		}
	}
	return s, nil
}

// List tells discovery of a node as it is now, with a status.
func (s *Site) List(n *database.Node, status string) {
	role := "replica"
	if n.Primary() {
		role = "primary"
	}
	s.Discovery.Set(discovery.Entry{Name: n.Name, Address: n.Address(), Zone: n.Zone, Type: "m", Group: n.Group,
		Status: status, Role: role, Weight: 1, Since: float64(n.Started()) / 1000})
}

// Node is a node by name; nil for none.
func (s *Site) Node(name string) *database.Node {
	for _, n := range s.Cluster.Nodes() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Close ends routers and nodes, and removes the folder.
func (s *Site) Close() error {
	for _, r := range s.routers {
		r.Kill()
	}
	s.Cluster.Close()
	s.Discovery.Close()
	return os.RemoveAll(s.Folder)
}

// class is one command group in a router's settings.
type class struct {
	Name   string  `json:"name"`
	Effect string  `json:"effect"`
	Aim    int     `json:"aim"`
	Limit  int     `json:"hardLimit"`
	Points float64 `json:"points"`
}

// configuration is what the platform tells a router.
func (s *Site) configuration(name, listen string, siblings int) ([]byte, error) {
	type fields map[string]any
	return json.Marshal(fields{"name": name, "listen": listen, "discovery": s.Discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": fields{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": fields{"az": "a", "siblings": siblings, "round": 5,
			"classes": []class{{ReadAny, "safe", 400, 1000, 1}, {ReadOwn, "safe", 400, 1000, 1}, {Write, "unsafe", 400, 1000, 1}},
			"domain":  fields{"readLevel": []string{"any", "session", "write"}, "oldestData": []int{0, 0, 0}, "writeMarks": "kept"},
			"limits":  fields{"maxAttempts": 8, "cancel": true, "probes": true, "connectTimeout": 250, "connIdle": 15000},
			"report":  fields{"how": "answers", "fields": []string{"x0", "x1", "inflight"}}}})
}

// Router is a router's process.
type Router struct {
	Name, Address string
	site          *Site
	args          []string
	log           io.Writer

	mu    sync.Mutex // a supervisor may start it while others signal it
	cmd   *exec.Cmd
	in    io.WriteCloser
	ended chan struct{}
}

// process is the present one; nil where it was never started.
func (r *Router) process() (cmd *exec.Cmd, in io.WriteCloser, ended chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd, r.in, r.ended
}

// Ports are handed out below those that the kernel gives to outgoing connections, which would else take one between
// here and its use; each once.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var handed sync.Map

// Free is an address of loopback where nothing listens, for TCP and UDP.
func Free() (string, error) {
	for range 200 {
		at := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := handed.LoadOrStore(at, true); taken {
			continue
		}
		ln, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", at)
		ln.Close()
		if err == nil {
			return at, p.Close()
		}
	}
	return "", errors.New("no free port")
}

// Router starts this program again as a router, with arguments and the operator's file, "" for none. What it logs
// goes to log.
func (s *Site) Router(name string, siblings int, file string, log io.Writer, args ...string) (*Router, error) {
	r, err := s.Prepare(name, siblings, file, log, args...)
	if err != nil {
		return nil, err
	}
	return r, r.Start()
}

// Prepare makes a router ready to be started.
func (s *Site) Prepare(name string, siblings int, file string, log io.Writer, args ...string) (*Router, error) {
	at, err := Free()
	if err != nil {
		return nil, err
	}
	raw, err := s.configuration(name, at, siblings)
	if err == nil {
		err = os.WriteFile(filepath.Join(s.Folder, name+".json"), raw, 0o600)
	}
	if err == nil && file != "" {
		path := filepath.Join(s.Folder, name+".sexp")
		args = append(args, "--file", path)
		err = os.WriteFile(path, []byte(file), 0o600)
	}
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, Address: at, site: s, args: args, log: log}
	s.routers = append(s.routers, r)
	return r, nil
}

// File replaces the operator's file, which SIGHUP or the next start reads.
func (r *Router) File(text string) error {
	return os.WriteFile(filepath.Join(r.site.Folder, r.Name+".sexp"), []byte(text), 0o600)
}

// Start starts the process, or starts it again, and waits until it takes commands.
func (r *Router) Start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, r.args...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(r.site.Folder, r.Name+".json"))
	cmd.Stderr = r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also where it is stopped when this one ends
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	r.mu.Lock()
	r.cmd, r.in, r.ended = cmd, in, ended
	r.mu.Unlock()
	c := client.New(r.Address, "ready", timeout)
	defer c.Close()
	for began := time.Now(); !c.Ready(); time.Sleep(5 * time.Millisecond) {
		select {
		case <-ended:
			return fmt.Errorf("router %s ended: %s", r.Name, cmd.ProcessState)
		default:
		}
		if time.Since(began) > startWait {
			r.Kill()
			return fmt.Errorf("router %s was not ready within %v", r.Name, startWait)
		}
	}
	return nil
}

// Say writes a line to the process.
func (r *Router) Say(line ...string) {
	_, in, _ := r.process()
	fmt.Fprintln(in, strings.Join(line, " "))
}

// Signal sends the process a signal.
func (r *Router) Signal(s syscall.Signal) {
	if cmd, _, _ := r.process(); cmd != nil {
		cmd.Process.Signal(s)
	}
}

// Kill ends the process at once.
func (r *Router) Kill() {
	cmd, _, ended := r.process()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	default:
		cmd.Process.Kill()
		<-ended
	}
}

// Ended tells whether the process has ended, and how.
func (r *Router) Ended() (code int, ended bool) {
	cmd, _, done := r.process()
	if cmd == nil {
		return 0, false
	}
	select {
	case <-done:
		return cmd.ProcessState.ExitCode(), true
	default:
		return 0, false
	}
}

// Stop ends the process in order.
func (r *Router) Stop() error {
	r.Signal(syscall.SIGTERM)
	cmd, _, ended := r.process()
	select {
	case <-ended:
		if code := cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("router %s ended with %d", r.Name, code)
		}
		return nil
	case <-time.After(stopWait):
		r.Kill()
		return fmt.Errorf("router %s did not leave within %v", r.Name, stopWait)
	}
}

// Session is a client's session at the router.
func (r *Router) Session(key string) *client.Session { return client.New(r.Address, key, timeout) }

// CPU is the processor time that the process has used.
func (r *Router) CPU() (time.Duration, error) {
	cmd, _, _ := r.process()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, errors.New("no processor time")
	}
	var user, system int64
	fmt.Sscan(f[11], &user)
	fmt.Sscan(f[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond, nil
}
