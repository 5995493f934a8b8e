package cluster

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/testcluster/client"
)

// readyCheckInterval is the time between attempts to reach a router that starts.
const readyCheckInterval = 5 * time.Millisecond

// clockTick is the unit in which the kernel tells processor times.
const clockTick = 10 * time.Millisecond

// errNoProcessorTime tells that the kernel's line on a process has no processor time.
var errNoProcessorTime = errors.New("no processor time")

// Router is one router process.
type Router struct {
	Name, Address string
	cluster       *Cluster
	args          []string
	log           io.Writer

	mu      sync.Mutex // a supervisor may start it while others signal it
	running *process   // the present process, nil if the router was never started
}

// process is one start of a router.
type process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	ended chan struct{} // closed when it has ended
}

// current returns the present process, nil if the router was never started.
func (r *Router) current() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// WriteOperatorFile replaces the operator's file, which SIGHUP or the next start reads.
func (r *Router) WriteOperatorFile(text string) error {
	return os.WriteFile(filepath.Join(r.cluster.Folder, r.Name+".sexp"), []byte(text), 0o600)
}

// Start starts the process, or starts it again, and waits until it takes commands.
func (r *Router) Start() error {
	started, err := r.startProcess()
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.running = started
	r.mu.Unlock()
	return r.waitUntilReady(started)
}

// startProcess starts this program again, as the router.
func (r *Router) startProcess() (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, r.args...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(r.cluster.Folder, r.Name+".json"))
	cmd.Stderr = r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also where it is stopped when this one ends
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, stdin: stdin, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// waitUntilReady waits until a process that has just started takes commands. The error tells that it ended, or that it took
// longer than startTimeout and was killed.
func (r *Router) waitUntilReady(started *process) error {
	session := client.New(r.Address, "ready", clientTimeout)
	defer session.Close()
	for began := time.Now(); !session.Ready(); time.Sleep(readyCheckInterval) {
		if started.hasEnded() {
			return fmt.Errorf("router %s ended: %s", r.Name, started.cmd.ProcessState)
		}
		if time.Since(began) > startTimeout {
			r.Kill()
			return fmt.Errorf("router %s was not ready within %v", r.Name, startTimeout)
		}
	}
	return nil
}

// SendLine writes a line to the process's standard input.
func (r *Router) SendLine(line ...string) {
	fmt.Fprintln(r.current().stdin, strings.Join(line, " "))
}

// Signal sends the process a signal.
func (r *Router) Signal(s syscall.Signal) {
	if p := r.current(); p != nil {
		p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (r *Router) Kill() {
	p := r.current()
	if p == nil || p.hasEnded() {
		return
	}
	p.cmd.Process.Kill()
	<-p.ended
}

// ExitCode returns the process's exit code, and whether it has ended.
func (r *Router) ExitCode() (code int, ended bool) {
	p := r.current()
	if p == nil || !p.hasEnded() {
		return 0, false
	}
	return p.cmd.ProcessState.ExitCode(), true
}

// Stop sends SIGTERM and waits for the process's end. Another exit code than 0, or an end that takes too long, is an error.
func (r *Router) Stop() error {
	r.Signal(syscall.SIGTERM)
	p := r.current()
	select {
	case <-p.ended:
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("router %s ended with %d", r.Name, code)
		}
		return nil
	case <-time.After(stopTimeout):
		r.Kill()
		return fmt.Errorf("router %s did not leave within %v", r.Name, stopTimeout)
	}
}

// NewSession returns a client's session at the router.
func (r *Router) NewSession(key string) *client.Session {
	return client.New(r.Address, key, clientTimeout)
}

// CPUTime returns the processor time that the process has used.
func (r *Router) CPUTime() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.current().cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errNoProcessorTime
	}
	var user, system int64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * clockTick, nil
}
