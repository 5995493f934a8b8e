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
	// childCheckInterval is the time between looks whether the command's children are gone.
	childCheckInterval = 20 * time.Millisecond
	// maxChildChecks bounds the looks to ten seconds: a process that the system can't end must not keep the supervisor.
	maxChildChecks = 500
)

// adoptOrphans makes this process the parent of what its descendants leave behind, so that it can end that too.
func adoptOrphans() {
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		fmt.Fprintln(os.Stderr, "lease supervisor: children that part from the command are not ended with it:", err)
	}
}

// killGroup kills the command's process group and all other children of this process. group is the process ID of the
// command too, which leads its group.
func killGroup(group int) {
	syscall.Kill(-group, syscall.SIGKILL)
	killChildren(group)
}

// killChildren kills all children of this process but those that are spared, again and again until none is left or
// maxChildChecks looks are over. It reports whether none is left. It reaps them, except one for which exec.Cmd.Wait waits, 0
// for none.
func killChildren(waitedFor int, spared ...int) bool {
	for range maxChildChecks {
		all := slices.DeleteFunc(children(), func(pid int) bool { return slices.Contains(spared, pid) })
		for _, pid := range all {
			syscall.Kill(pid, syscall.SIGKILL)
		}
		reapAllExcept(waitedFor)
		if len(all) == 0 {
			return true
		}
		time.Sleep(childCheckInterval)
	}
	return false
}

// reapAllExcept reaps exited children except the command, for which exec.Cmd.Wait waits.
func reapAllExcept(exceptPID int) {
	for _, pid := range children() {
		if pid != exceptPID {
			syscall.Wait4(pid, nil, syscall.WNOHANG, nil)
		}
	}
}

// children returns the process IDs of this process's children, from /proc.
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
