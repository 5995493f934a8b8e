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
	ClassReadAny = "board"
	ClassReadOwn = "own"
	ClassWrite   = "entry"
)

const (
	drainGrace     = 2_000_000              // us after which a draining node may get nothing new
	workPerCommand = 2 * time.Millisecond   // that a command takes on one of a node's cores
	coresPerNode   = 4                      // of a node
	startTimeout   = 10 * time.Second       // for a router to be ready
	stopTimeout    = 3 * time.Second        // for a router to leave in order
	clientTimeout  = 900 * time.Millisecond // that clients wait
)

// Site is nodes and their discovery.
type Cluster struct {
	Database   *database.Cluster
	Discovery  *discovery.Server
	Folder     string // for files; it goes with Close
	shardCount int
	routers    []*Router
}

// New makes a site of so many groups with so many nodes each, the first of each leading.
func New(seed uint64, groups, members int) (c *Cluster, err error) {
	c = &Cluster{Database: database.New(seed, drainGrace), shardCount: groups}
	if c.Discovery, err = discovery.Start(); err != nil {
		return nil, err
	}
	if c.Folder, err = os.MkdirTemp("", "site"); err != nil {
		return nil, err
	}
	for g := range groups {
		for m := range members {
			n, err := c.Database.AddNode(fmt.Sprintf("s-%d%c", g, 'a'+m), "abc"[m%3:m%3+1], g, coresPerNode, workPerCommand)
			if err != nil {
				return nil, errors.Join(err, c.Close())
			}
			c.Announce(n, "active")
		}
	}
	return c, nil
}

// List tells discovery of a node as it is now, with a status.
func (c *Cluster) Announce(n *database.Node, status string) {
	role := "replica"
	if n.IsPrimary() {
		role = "primary"
	}
	c.Discovery.Update(discovery.Entry{Name: n.Name, Address: n.Address(), Zone: n.Zone, NodeType: "m", Shard: n.Shard,
		Status: status, Role: role, Weight: 1, StartedAtMillis: float64(n.StartedAt()) / 1000})
}

// Node is a node by name; nil for none.
func (c *Cluster) Node(name string) *database.Node {
	for _, n := range c.Database.Nodes() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Close ends routers and nodes, and removes the folder.
func (c *Cluster) Close() error {
	for _, r := range c.routers {
		r.Kill()
	}
	c.Database.Close()
	c.Discovery.Close()
	return os.RemoveAll(c.Folder)
}

// class is one command group in a router's settings.
type commandClass struct {
	Name   string  `json:"name"`
	Effect string  `json:"effect"`
	Aim    int     `json:"aim"`
	Limit  int     `json:"hardLimit"`
	Points float64 `json:"points"`
}

// configuration is what the platform tells a router.
func (c *Cluster) configuration(name, listen string, siblings int) ([]byte, error) {
	type object map[string]any
	return json.Marshal(object{"name": name, "listen": listen, "discovery": c.Discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": object{"az": "a", "siblings": siblings, "round": 5,
			"classes": []commandClass{{ClassReadAny, "safe", 400, 1000, 1}, {ClassReadOwn, "safe", 400, 1000, 1}, {ClassWrite, "unsafe", 400, 1000, 1}},
			"domain":  object{"readLevel": []string{"any", "session", "write"}, "oldestData": []int{0, 0, 0}, "writeMarks": "kept"},
			"limits":  object{"maxAttempts": 8, "cancel": true, "probes": true, "connectTimeout": 250, "connIdle": 15000},
			"report":  object{"how": "answers", "fields": []string{"x0", "x1", "inflight"}}}})
}

// Router is a router's process.
type Router struct {
	Name, Address string
	cluster       *Cluster
	args          []string
	log           io.Writer

	mu    sync.Mutex // a supervisor may start it while others signal it
	cmd   *exec.Cmd
	stdin io.WriteCloser
	ended chan struct{}
}

// process is the present one; nil where it was never started.
func (r *Router) current() (cmd *exec.Cmd, in io.WriteCloser, ended chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd, r.stdin, r.ended
}

// Ports are handed out below those that the kernel gives to outgoing connections, which would else take one between
// here and its use; each once.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var issuedAddresses sync.Map

// Free is an address of loopback where nothing listens, for TCP and UDP.
func FreeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := issuedAddresses.LoadOrStore(address, true); taken {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			return address, p.Close()
		}
	}
	return "", errors.New("no free port")
}

// Router starts this program again as a router, with arguments and the operator's file, "" for none. What it logs
// goes to log.
func (c *Cluster) StartRouter(name string, siblings int, file string, log io.Writer, args ...string) (*Router, error) {
	r, err := c.PrepareRouter(name, siblings, file, log, args...)
	if err != nil {
		return nil, err
	}
	return r, r.Start()
}

// Prepare makes a router ready to be started.
func (c *Cluster) PrepareRouter(name string, siblings int, file string, log io.Writer, args ...string) (*Router, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	raw, err := c.configuration(name, address, siblings)
	if err == nil {
		err = os.WriteFile(filepath.Join(c.Folder, name+".json"), raw, 0o600)
	}
	if err == nil && file != "" {
		path := filepath.Join(c.Folder, name+".sexp")
		args = append(args, "--file", path)
		err = os.WriteFile(path, []byte(file), 0o600)
	}
	if err != nil {
		return nil, err
	}
	r := &Router{Name: name, Address: address, cluster: c, args: args, log: log}
	c.routers = append(c.routers, r)
	return r, nil
}

// File replaces the operator's file, which SIGHUP or the next start reads.
func (r *Router) WriteOperatorFile(text string) error {
	return os.WriteFile(filepath.Join(r.cluster.Folder, r.Name+".sexp"), []byte(text), 0o600)
}

// Start starts the process, or starts it again, and waits until it takes commands.
func (r *Router) Start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, r.args...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(r.cluster.Folder, r.Name+".json"))
	cmd.Stderr = r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also where it is stopped when this one ends
	stdin, err := cmd.StdinPipe()
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
	r.cmd, r.stdin, r.ended = cmd, stdin, ended
	r.mu.Unlock()
	session := client.New(r.Address, "ready", clientTimeout)
	defer session.Close()
	for began := time.Now(); !session.Ready(); time.Sleep(5 * time.Millisecond) {
		select {
		case <-ended:
			return fmt.Errorf("router %s ended: %s", r.Name, cmd.ProcessState)
		default:
		}
		if time.Since(began) > startTimeout {
			r.Kill()
			return fmt.Errorf("router %s was not ready within %v", r.Name, startTimeout)
		}
	}
	return nil
}

// Say writes a line to the process.
func (r *Router) SendLine(line ...string) {
	_, stdin, _ := r.current()
	fmt.Fprintln(stdin, strings.Join(line, " "))
}

// Signal sends the process a signal.
func (r *Router) Signal(s syscall.Signal) {
	if cmd, _, _ := r.current(); cmd != nil {
		cmd.Process.Signal(s)
	}
}

// Kill ends the process at once.
func (r *Router) Kill() {
	cmd, _, ended := r.current()
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
func (r *Router) ExitCode() (code int, ended bool) {
	cmd, _, done := r.current()
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
	cmd, _, ended := r.current()
	select {
	case <-ended:
		if code := cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("router %s ended with %d", r.Name, code)
		}
		return nil
	case <-time.After(stopTimeout):
		r.Kill()
		return fmt.Errorf("router %s did not leave within %v", r.Name, stopTimeout)
	}
}

// Session is a client's session at the router.
func (r *Router) NewSession(key string) *client.Session {
	return client.New(r.Address, key, clientTimeout)
}

// CPU is the processor time that the process has used.
func (r *Router) CPUTime() (time.Duration, error) {
	cmd, _, _ := r.current()
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
