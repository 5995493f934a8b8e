package supervisor

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// childCheckInterval is the time between looks whether the command's children are gone.
	childCheckInterval = 20 * time.Millisecond
	// maxChildChecks bounds the looks to ten seconds: a process that the system can't end must not keep the supervisor.
	maxChildChecks = 500
)

// killGroup kills the command's process group and all other children of this process, again and again until none is left
// or maxChildChecks looks are over. group is the process ID of the command too, which leads its group.
func killGroup(group int) {
	syscall.Kill(-group, syscall.SIGKILL)
	for range maxChildChecks {
		all := children()
		for _, pid := range all {
			syscall.Kill(pid, syscall.SIGKILL)
		}
		reapAllExcept(group)
		if len(all) == 0 {
			return
		}
		time.Sleep(childCheckInterval)
	}
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
