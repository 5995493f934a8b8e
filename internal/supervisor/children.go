package supervisor

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// childCheckInterval is the time between checks of whether the command's children have exited.
	childCheckInterval = 20 * time.Millisecond
	// maxChildChecks bounds the checks to ten seconds: a process that the system can't kill must not block the
	// supervisor.
	maxChildChecks = 500
)

// adoptOrphans makes this process a child subreaper: orphaned descendants become its children, so that it can kill
// them.
func adoptOrphans() {
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		fmt.Fprintln(os.Stderr, "lease supervisor: can't become a child subreaper, so detached children may outlive the command:", err)
	}
}

// killGroup kills the command's process group and all other children of this process. group is also the process ID of
// the command, which is the group's leader.
func killGroup(group int) {
	syscall.Kill(-group, syscall.SIGKILL)
	killChildren(group)
}

// killChildren kills and reaps all children of this process except spared ones, repeatedly until none is left, for at
// most maxChildChecks checks. It reports whether none is left. exceptPID, 0 for none, is killed but not reaped:
// exec.Cmd.Wait waits for it.
func killChildren(exceptPID int, spared ...int) bool {
	for range maxChildChecks {
		all := slices.DeleteFunc(children(), func(pid int) bool { return slices.Contains(spared, pid) })
		for _, pid := range all {
			syscall.Kill(pid, syscall.SIGKILL)
		}
		reapAllExcept(exceptPID)
		if len(all) == 0 {
			return true
		}
		time.Sleep(childCheckInterval)
	}
	return false
}

// reapAllExcept reaps exited children except exceptPID, the command, for which exec.Cmd.Wait waits.
func reapAllExcept(exceptPID int) {
	for _, pid := range children() {
		if pid != exceptPID {
			syscall.Wait4(pid, nil, syscall.WNOHANG, nil)
		}
	}
}

// children returns the process IDs of this process's children, as listed in /proc.
func children() (pids []int) {
	threads, _ := os.ReadDir("/proc/self/task")
	for _, thread := range threads {
		raw, err := os.ReadFile("/proc/self/task/" + thread.Name() + "/children")
		if err != nil {
			continue
		}
		for _, field := range strings.Fields(string(raw)) {
			if pid, err := strconv.Atoi(field); err == nil {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}
