package proof

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cairntiller/internal/testcluster/client"
	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/process"
)

// What surrounds the routers in the proof of rollouts: their machines' supervisors, clients, and the databases' operators.

const (
	sessionCount = 36                    // clients in all, at each router as many as at another
	thinkTime    = 20 * time.Millisecond // of a client between commands
	restartPause = 200 * time.Millisecond
)

// start starts the routers and all that surrounds them.
func (run *rolloutRun) start() (err error) {
	var voters []string
	for i := range run.proof.Voters {
		voters = append(voters, process.ProcessName(i))
	}
	var machines []process.Machine
	for i := range run.proof.Routers {
		machines = append(machines, process.Machine{Skew: process.ClockSkew{Rate: 1}, File: run.operatorFile(voters, i)})
	}
	run.harness, err = process.New(run.proof.Seed, run.cluster, machines, run.proof.Log, run.proof.Output, "child-releases")
	if err != nil {
		return err
	}
	for i := range run.proof.Routers {
		run.goroutines.Go(func() { run.supervise(i) })
		for k := range max(1, sessionCount/run.proof.Routers) {
			run.goroutines.Go(func() { run.runSession(i, k) })
		}
	}
	run.goroutines.Go(run.handOverDrained)
	run.goroutines.Go(run.watchDrainedNodes)
	return nil
}

func (run *rolloutRun) operatorFile(voters []string, i int) string {
	socket := run.cluster.Folder + "/" + process.ProcessName(i) + ".sock"
	zone := "abc"[i%3 : i%3+1]
	return fmt.Sprintf("(duties (instances %d) (probe (every 500ms)))\n(leases (longest %dms) (voters (names %s)))\n(control (socket %q))\n(releases (zone %q))",
		run.proof.Routers, rolloutLeaseLength.Milliseconds(), strings.Join(voters, " "), socket, zone)
}

// supervise starts a router again that has left in order, as a machine's supervisor does.
func (run *rolloutRun) supervise(i int) {
	for run.pause(pollInterval) {
		code, ended := run.harness.Router(i).ExitCode()
		if !ended || code != 0 || !run.harness.IsRunning(i) {
			continue
		}
		run.setOut(i, true)
		time.Sleep(restartPause)
		select {
		case <-run.ended:
			return
		default:
		}
		if err := run.harness.Router(i).Start(); err != nil {
			run.violated("router %d does not start again: %v", i, err)
			return
		}
		run.mu.Lock()
		run.restarts[i]++
		run.mu.Unlock()
		run.setOut(i, false)
	}
}

// setOut notes whether a router is out by a plan, and the most at once.
func (run *rolloutRun) setOut(i int, out bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.outByPlan[i] = out
	all := 0
	for _, out := range run.outByPlan {
		if out {
			all++
		}
	}
	run.maxOut = max(run.maxOut, all)
}

// runSession is a client that writes and reads, and moves to another router when its own goes away.
func (run *rolloutRun) runSession(i, k int) {
	at := i
	session := run.harness.Router(at).NewSession(fmt.Sprintf("%d-%d", i, k))
	defer func() {
		run.mu.Lock()
		run.violations = append(run.violations, session.Violations...)
		run.mu.Unlock()
		session.Close()
	}()
	group := (i + k) % run.proof.Groups
	for n := 0; run.pause(thinkTime); n++ {
		var answer client.Answer
		var err error
		if n%4 == 0 {
			answer, err = session.Write(cluster.ClassWrite, group)
		} else {
			answer, err = session.Read(cluster.ClassReadAny, group, false)
		}
		switch {
		case err != nil: // its connection ended, or none came up
			run.connectionsEnded.Add(1)
			at = (at + 1) % run.proof.Routers
			session.SwitchRouter(run.harness.Router(at).Address)
		case answer.ErrorCode == "":
			run.answered.Add(1)
		case answer.ErrorCode == "53300" || answer.ErrorCode == "57P03":
			run.refused.Add(1)
		default:
			run.failed.Add(1)
		}
	}
}

// measureRate measures answers a second for a while.
func (run *rolloutRun) measureRate(span time.Duration) float64 {
	before := run.answered.Load()
	time.Sleep(span)
	return float64(run.answered.Load()-before) / span.Seconds()
}

// handOverDrained is the operators' side of the databases: a drained primary hands over to a replica that is not drained.
func (run *rolloutRun) handOverDrained() {
	for run.pause(statusInterval) {
		for _, name := range run.drainedNodes() {
			n := run.cluster.Node(name)
			if n == nil || !n.IsPrimary() {
				continue
			}
			for _, other := range run.cluster.Database.Nodes() {
				if other.Shard == n.Shard && other != n && !slices.Contains(run.drainedNodes(), other.Name) {
					other.Promote()
					run.cluster.Announce(n, "active")
					run.cluster.Announce(other, "active")
					break
				}
			}
		}
	}
}

// killLeaders kills whoever leads, twice, once a unit is out; its supervisor starts it again.
func (run *rolloutRun) killLeaders() {
	for killed := 0; killed < 2 && run.pause(pollInterval); {
		for i := range run.proof.Routers {
			s, err := run.status(i)
			if err != nil || !s.Leads || len(s.Plans) == 0 || len(s.Plans[0].Holding) == 0 {
				continue
			}
			run.harness.Execute(process.Step{Command: "kill", Args: []string{fmt.Sprint(i)}})
			time.Sleep(time.Second)
			if err := run.harness.Execute(process.Step{Command: "start", Args: []string{fmt.Sprint(i)}}); err != nil {
				run.violated("%v", err)
				return
			}
			killed++
			time.Sleep(2 * rolloutLeaseLength)
		}
	}
}

// playFaults kills and stops routers and spoils links while plans run; a killed one is started again by its supervisor.
func (run *rolloutRun) playFaults() {
	script := process.RandomScript(run.proof.Seed, run.proof.Routers, 3*time.Second, 30*time.Second)
	if err := run.harness.Play(script); err != nil {
		run.violated("%v", err)
	}
}
