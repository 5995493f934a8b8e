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

// Router is one router process.
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

// current returns the present process, its standard input, and a channel that is closed when it has ended. All are nil where
// it was never started.
func (r *Router) current() (cmd *exec.Cmd, in io.WriteCloser, ended chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd, r.stdin, r.ended
}

// WriteOperatorFile replaces the operator's file, which SIGHUP or the next start reads.
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

// SendLine writes a line to the process's standard input.
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

// Kill ends the process at once and waits for its end.
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

// ExitCode returns the process's exit code, and whether it has ended.
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

// Stop sends SIGTERM and waits for the process's end. Another exit code than 0, or an end that takes too long, is an error.
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

// NewSession returns a client's session at the router.
func (r *Router) NewSession(key string) *client.Session {
	return client.New(r.Address, key, clientTimeout)
}

// CPUTime returns the processor time that the process has used.
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
