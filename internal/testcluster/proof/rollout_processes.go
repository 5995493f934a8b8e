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

// The environment of the routers in the rollout proof: supervisors, clients, and the operators of the databases.

const (
	sessionCount = 36                    // clients in all, divided evenly among the routers
	thinkTime    = 20 * time.Millisecond // a client's pause between commands
	restartDelay = 200 * time.Millisecond
)

// start starts the routers and their environment.
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
	run.goroutines.Go(run.replaceDrainedPrimaries)
	run.goroutines.Go(run.watchDrainedNodes)
	return nil
}

func (run *rolloutRun) operatorFile(voters []string, i int) string {
	socket := run.cluster.Folder + "/" + process.ProcessName(i) + ".sock"
	zone := "abc"[i%3 : i%3+1]
	return fmt.Sprintf("(duties (instances %d) (probe (every 500ms)))\n(leases (longest %dms) (voters (names %s)))\n(control (socket %q))\n(releases (zone %q))",
		run.proof.Routers, rolloutLeaseLength.Milliseconds(), strings.Join(voters, " "), socket, zone)
}

// supervise restarts a router each time it has exited in order, as a machine's process supervisor does.
func (run *rolloutRun) supervise(i int) {
	for run.sleep(pollInterval) {
		code, ended := run.harness.Router(i).ExitCode()
		if !ended || code != 0 || !run.harness.IsRunning(i) {
			continue
		}
		run.setUnavailable(i, true)
		time.Sleep(restartDelay)
		select {
		case <-run.ended:
			return
		default:
		}
		if err := run.harness.Router(i).Start(); err != nil {
			run.recordViolation("router %d does not restart: %v", i, err)
			return
		}
		run.mu.Lock()
		run.restarts[i]++
		run.mu.Unlock()
		run.setUnavailable(i, false)
	}
}

// setUnavailable records whether a router is down after an orderly exit, and updates the maximum at once.
func (run *rolloutRun) setUnavailable(i int, unavailable bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.unavailable[i] = unavailable
	count := 0
	for _, out := range run.unavailable {
		if out {
			count++
		}
	}
	run.maxUnavailable = max(run.maxUnavailable, count)
}

// runSession runs a client that writes and reads, and switches to the next router when its connection is lost.
func (run *rolloutRun) runSession(i, k int) {
	router := i
	session := run.harness.Router(router).NewSession(fmt.Sprintf("%d-%d", i, k))
	defer func() {
		run.mu.Lock()
		run.violations = append(run.violations, session.Violations...)
		run.mu.Unlock()
		session.Close()
	}()
	group := (i + k) % run.proof.Groups
	for n := 0; run.sleep(thinkTime); n++ {
		var answer client.Answer
		var err error
		if n%4 == 0 {
			answer, err = session.Write(cluster.ClassWrite, group)
		} else {
			answer, err = session.Read(cluster.ClassReadAny, group, false)
		}
		switch {
		case err != nil: // the connection ended or could not be opened
			run.connectionsEnded.Add(1)
			router = (router + 1) % run.proof.Routers
			session.SwitchRouter(run.harness.Router(router).Address)
		case answer.ErrorCode == "":
			run.answered.Add(1)
		case answer.ErrorCode == "53300" || answer.ErrorCode == "57P03":
			run.refused.Add(1)
		default:
			run.failed.Add(1)
		}
	}
}

// measureRate returns the answers per second over span.
func (run *rolloutRun) measureRate(span time.Duration) float64 {
	before := run.answered.Load()
	time.Sleep(span)
	return float64(run.answered.Load()-before) / span.Seconds()
}

// replaceDrainedPrimaries acts as the databases' operators: it promotes a replica that is not drained in place of each drained
// primary.
func (run *rolloutRun) replaceDrainedPrimaries() {
	for run.sleep(statusInterval) {
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

// killLeaders kills the leader while a unit of its plan is in progress, and starts it again; it does so twice.
func (run *rolloutRun) killLeaders() {
	for killed := 0; killed < 2 && run.sleep(pollInterval); {
		for i := range run.proof.Routers {
			s, err := run.status(i)
			if err != nil || !s.Leads || len(s.Plans) == 0 || len(s.Plans[0].Holding) == 0 {
				continue
			}
			run.harness.Execute(process.Step{Command: "kill", Args: []string{fmt.Sprint(i)}})
			time.Sleep(time.Second)
			if err := run.harness.Execute(process.Step{Command: "start", Args: []string{fmt.Sprint(i)}}); err != nil {
				run.recordViolation("%v", err)
				return
			}
			killed++
			time.Sleep(2 * rolloutLeaseLength)
		}
	}
}

// playFaults kills and stops routers and disturbs links while plans run. The script starts killed routers again.
func (run *rolloutRun) playFaults() {
	script := process.RandomScript(run.proof.Seed, run.proof.Routers, 3*time.Second, 30*time.Second)
	if err := run.harness.Play(script); err != nil {
		run.recordViolation("%v", err)
	}
}
