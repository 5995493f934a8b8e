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

// readyCheckInterval is the interval between readiness checks of a starting router.
const readyCheckInterval = 5 * time.Millisecond

// clockTick is the unit of CPU times in /proc/PID/stat (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// errNoCPUTime reports that /proc/PID/stat has too few fields to contain CPU times.
var errNoCPUTime = errors.New("no CPU times in /proc/PID/stat")

// errNoPeakMemory reports that /proc/PID/status has no line with the peak resident set size.
var errNoPeakMemory = errors.New("no VmHWM in /proc/PID/status")

// Router is a router that runs as a process of its own and can be restarted.
type Router struct {
	Name, Address string
	cluster       *Cluster
	args          []string
	log           io.Writer

	mu      sync.Mutex // guards running: a supervisor may restart the process while others signal it
	running *process   // the latest process, nil if the router was never started
}

// process is one run of a router.
type process struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	exited chan struct{} // closed when the process has exited
}

// BuildRouter builds the router's executable, without the race detector, with the Go tool chain. The caller removes it once it
// is no longer needed.
func BuildRouter() (program string, remove func(), err error) {
	folder, err := os.MkdirTemp("", "router")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(folder) }
	program = filepath.Join(folder, "cairntiller")
	if out, err := exec.Command("go", "build", "-o", program, "cairntiller/cmd/cairntiller").CombinedOutput(); err != nil {
		remove()
		return "", nil, fmt.Errorf("%w: %s", err, out)
	}
	return program, remove, nil
}

// current returns the latest process, nil if the router was never started.
func (r *Router) current() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// WriteOperatorFile replaces the operator's file. The router reads it on SIGHUP and when it starts.
func (r *Router) WriteOperatorFile(text string) error {
	return os.WriteFile(filepath.Join(r.cluster.Folder, r.Name+".sexp"), []byte(text), 0o600)
}

// Start starts or restarts the process and waits until it accepts commands.
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

// startProcess starts the router's program.
func (r *Router) startProcess() (*process, error) {
	program := r.cluster.config.RouterProgram
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(program, r.args...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(r.cluster.Folder, r.Name+".json"))
	cmd.Stderr = r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also kills a process that is stopped by SIGSTOP when this one exits
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, stdin: stdin, exited: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// waitUntilReady waits until a process that was just started accepts commands. It returns an error if the process exits, or if
// it isn't ready within startTimeout, in which case it is killed.
func (r *Router) waitUntilReady(started *process) error {
	session := client.New(r.Address, "ready", clientTimeout)
	defer session.Close()
	for start := time.Now(); !session.Ready(); time.Sleep(readyCheckInterval) {
		if started.hasExited() {
			return fmt.Errorf("router %s exited before it was ready: %s", r.Name, started.cmd.ProcessState)
		}
		if time.Since(start) > startTimeout {
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

// Kill sends SIGKILL to the process and waits until it has exited.
func (r *Router) Kill() {
	p := r.current()
	if p == nil || p.hasExited() {
		return
	}
	p.cmd.Process.Kill()
	<-p.exited
}

// ExitCode returns the exit code of the process and whether it has exited.
func (r *Router) ExitCode() (code int, exited bool) {
	p := r.current()
	if p == nil || !p.hasExited() {
		return 0, false
	}
	return p.cmd.ProcessState.ExitCode(), true
}

// Stop sends SIGTERM and waits until the process has exited. It returns an error if the exit code isn't 0, or if the process
// doesn't exit within stopTimeout, in which case it is killed.
func (r *Router) Stop() error {
	r.Signal(syscall.SIGTERM)
	p := r.current()
	select {
	case <-p.exited:
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("router %s exited with code %d", r.Name, code)
		}
		return nil
	case <-time.After(stopTimeout):
		r.Kill()
		return fmt.Errorf("router %s did not exit within %v of SIGTERM", r.Name, stopTimeout)
	}
}

// NewSession returns a client session with the router.
func (r *Router) NewSession(key string) *client.Session {
	return client.New(r.Address, key, clientTimeout)
}

// PeakMemory returns the largest resident set size of the process so far, in bytes.
func (r *Router) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.current().cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			var kilobytes int64
			_, err := fmt.Sscan(value, &kilobytes)
			return kilobytes << 10, err
		}
	}
	return 0, errNoPeakMemory
}

// CPUTime returns the user and system CPU time that the process has used.
func (r *Router) CPUTime() (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.current().cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errNoCPUTime
	}
	var user, system int64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * clockTick, nil
}
