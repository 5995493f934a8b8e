//go:build review

// Package play holds the stand-ins of the review's cases: the platform that starts routers, discovery, nodes and
// clients. They follow the users' protocol page; where it is silent they behave like sound ones.
package play

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a run; after it the case counts as one that could not run.
const maxRunTime = 115 * time.Second

// Run is one run of a case: its record, its temporary folder and the processes that it has started.
type Run struct {
	Trouble bool   // false if the disruption is left out
	Folder  string // temporary, removed at the end
	Root    string // of the project

	mu        sync.Mutex
	record    *os.File
	start     time.Time
	processes []*Process
}

// Begin starts the run of the case whose folder is given: record.txt is written there.
func Begin(caseFolder string) *Run {
	caseFolder, err := filepath.Abs(caseFolder)
	if err != nil {
		panic(err)
	}
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &Run{
		Trouble: os.Getenv("TROUBLE") != "0",
		Folder:  folder,
		Root:    filepath.Dir(filepath.Dir(caseFolder)),
		record:  record,
		start:   time.Now(),
	}
	r.Logf("begin: disruption %v, %s", r.Trouble, time.Now().UTC().Format(time.RFC3339))
	time.AfterFunc(maxRunTime, func() { r.NotRun("the run took too long") })
	return r
}

// Logf adds a line with the time since the start to the record.
func (r *Run) Logf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
}

// Held ends the run: the rule held.
func (r *Run) Held(format string, args ...any) {
	r.finish(exitHeld, "the rule held: "+fmt.Sprintf(format, args...))
}

// Broken ends the run: the rule was broken.
func (r *Run) Broken(format string, args ...any) {
	r.finish(exitBroken, "THE RULE WAS BROKEN: "+fmt.Sprintf(format, args...))
}

// NotRun ends the run: the case could not run.
func (r *Run) NotRun(format string, args ...any) {
	r.finish(exitNotRun, "the case could not run: "+fmt.Sprintf(format, args...))
}

// Check ends the run as one that could not run if there is an error.
func (r *Run) Check(err error) {
	if err != nil {
		r.NotRun("%v", err)
	}
}

func (r *Run) finish(code int, verdict string) {
	r.Logf("%s", verdict)
	fmt.Println(verdict)
	r.mu.Lock()
	for _, p := range r.processes {
		if p.EndsItself && !p.Exited() { // it ends what it has started
			p.Signal(syscall.SIGTERM)
			p.Wait(8 * time.Second)
		}
	}
	for _, p := range r.processes {
		p.end()
	}
	r.record.Close()
	os.RemoveAll(r.Folder)
	os.Exit(code)
}

// Process is a process that the run has started.
type Process struct {
	Name       string
	EndsItself bool // it is ended by SIGTERM, since it has to end its own processes

	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// Start starts a program of the project by a shell command line from the project's root. Its output goes to NAME.log in
// the temporary folder.
func (r *Run) Start(name, line string, environment ...string) *Process {
	log, err := os.OpenFile(filepath.Join(r.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.Check(err)
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = r.Root
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	r.Check(cmd.Start())
	p := &Process{Name: name, cmd: cmd, exited: make(chan struct{}), log: log}
	go func() {
		cmd.Wait()
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.Logf("started %s, process %d: %s", name, cmd.Process.Pid, line)
	return p
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended, at most for the given time.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

func (p *Process) end() {
	if !p.Exited() {
		syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) // with what it has started in its group
		p.Signal(syscall.SIGKILL)
		p.Wait(5 * time.Second)
	}
	p.log.Close()
}

// Log returns what the process has printed.
func (r *Run) Log(name string) string {
	raw, _ := os.ReadFile(filepath.Join(r.Folder, name+".log"))
	return string(raw)
}

// RunLine returns the line of the deploy file that starts a router.
func (r *Run) RunLine() string {
	raw, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	r.Check(err)
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(string(raw))
	if found == nil {
		r.NotRun("deploy/balancer.toml has no line run")
	}
	return found[1]
}

// FreeAddress returns a loopback address that is free for TCP and UDP.
func (r *Run) FreeAddress() string {
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		r.Check(err)
		address := ln.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			packets.Close()
			return address
		}
	}
	r.NotRun("no free port")
	return ""
}

// Until waits until a condition holds, at most for the given time.
func Until(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("a condition was not met in time")
		}
	}
}

// WriteFile writes a file of the temporary folder and returns its path.
func (r *Run) WriteFile(name, text string) string {
	path := filepath.Join(r.Folder, name)
	part := path + ".part"
	r.Check(os.WriteFile(part, []byte(text), 0o600))
	r.Check(os.Rename(part, path))
	return path
}

// Indent indents the lines of a log for the record.
func Indent(text string) string {
	return "    " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n    ")
}
