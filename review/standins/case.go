//go:build review

package standins

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case couldn't run
)

// longestRun is the time after which a case is ended: it may run for 120 s.
const longestRun = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption takes place; unset by TROUBLE=0
	Root    string // of the project
	Temp    string // a folder that is removed at the end

	began time.Time

	mu        sync.Mutex
	record    *os.File
	broken    int
	processes []*exec.Cmd
}

// Run plays a case in the folder review/name of the project, whose root is the working directory, and exits.
func Run(name string, play func(c *Case) error) {
	runtime.LockOSThread() // processes that are started end with the thread that started them
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	code := c.run(name, play)
	c.end()
	switch code {
	case exitHeld:
		fmt.Printf("case %s: the rule held (trouble: %v)\n", name, c.Trouble)
	case exitBroken:
		fmt.Printf("case %s: the rule was broken, %d times (trouble: %v); see review/%s/record.txt\n", name, c.broken, c.Trouble, name)
	}
	os.Exit(code)
}

func (c *Case) run(name string, play func(c *Case) error) int {
	if err := c.open(name); err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return exitNotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-stopped:
			fmt.Fprintln(os.Stderr, "the case was ended by", s)
		case <-time.After(longestRun):
			fmt.Fprintln(os.Stderr, "the case took too long")
		}
		c.end()
		os.Exit(exitNotRun)
	}()
	if err := play(c); err != nil {
		c.Log("case", "could not run: %v", err)
		c.logOutputs()
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return exitNotRun
	}
	if c.broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// logOutputs writes to the record what the processes have printed.
func (c *Case) logOutputs() {
	files, _ := filepath.Glob(filepath.Join(c.Temp, "*.log"))
	for _, file := range files {
		raw, _ := os.ReadFile(file)
		for line := range strings.Lines(string(raw)) {
			c.Log(strings.TrimSuffix(filepath.Base(file), ".log"), "prints %s", strings.TrimSpace(line))
		}
	}
}

func (c *Case) open(name string) (err error) {
	if c.Root, err = os.Getwd(); err != nil {
		return err
	}
	if _, err = os.Stat(filepath.Join(c.Root, "bin", "cairntiller")); err != nil {
		return err
	}
	if c.Temp, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	// processes that lose their parent become children of this one, so that it can end them
	if err = unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return err
	}
	c.record, err = os.Create(filepath.Join(c.Root, "review", name, "record.txt"))
	return err
}

// Now returns the time since the case began.
func (c *Case) Now() time.Duration { return time.Since(c.began) }

// Log writes a line to the record: who did or saw what.
func (c *Case) Log(who, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f s  %-10s %s\n", c.Now().Seconds(), who, fmt.Sprintf(format, args...))
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.Log("BROKEN", format, args...)
	c.mu.Lock()
	c.broken++
	c.mu.Unlock()
}

// Start starts a line of the shell from the project's root, as the platform does. Its output goes to a file of the
// temporary folder, and env is added to the environment. It must be called on the goroutine that plays the case.
func (c *Case) Start(name, line string, env ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(c.Temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	process := exec.Command("/bin/sh", "-c", line)
	process.Dir = c.Root
	process.Env = append(os.Environ(), env...)
	process.Stdout = out
	process.Stderr = out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return nil, err
	}
	c.Log("platform", "starts %s, process %d: %s", name, process.Process.Pid, line)
	c.mu.Lock()
	c.processes = append(c.processes, process)
	c.mu.Unlock()
	return process, nil
}

// DeployLine returns a line of the deploy file, such as run.
func (c *Case) DeployLine(name string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, name+" = "); found {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", fmt.Errorf("the deploy file has no line %q", name)
}

// end ends the processes that were started, and what they have left behind.
func (c *Case) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 50 {
		left := children()
		if len(left) == 0 {
			break
		}
		for _, pid := range left {
			syscall.Kill(pid, syscall.SIGKILL)
			syscall.Wait4(pid, nil, syscall.WNOHANG, nil)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if c.Temp != "" {
		os.RemoveAll(c.Temp)
	}
}

// children returns the ids of this process's children.
func children() (pids []int) {
	lists, _ := filepath.Glob("/proc/self/task/*/children")
	for _, list := range lists {
		raw, _ := os.ReadFile(list)
		for field := range strings.FieldsSeq(string(raw)) {
			if pid, err := strconv.Atoi(field); err == nil {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}
