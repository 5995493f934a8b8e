package proof

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/rollout"
	"cairntiller/internal/rolloutservice"
)

// The operator's commands and queries in the rollout proof, over the routers' admin sockets.

// sendCommand sends a command to one router after another until one accepts it, for up to a minute.
func (run *rolloutRun) sendCommand(c rollout.Command) (err error) {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(statusInterval) {
		for i := range run.proof.Routers {
			if err = sendCommandTo(run.harness.AdminSocket(i), c); err == nil {
				return nil
			}
		}
	}
	return err
}

// sendCommandTo sends a command to one router.
func sendCommandTo(socket string, c rollout.Command) error {
	text, err := rolloutservice.EncodeCommand(c)
	if err != nil {
		return err
	}
	var token string
	return adminsocket.Do(socket, adminsocket.Request{Command: "fleet-word", Text: text}, &token)
}

// status asks router i for the status of plans.
func (run *rolloutRun) status(i int) (s rolloutservice.Status, err error) {
	err = adminsocket.Do(run.harness.AdminSocket(i), adminsocket.Request{Command: "fleet-status"}, &s)
	return s, err
}

// drainedNodes returns the nodes that plans drain, as reported by the leader.
func (run *rolloutRun) drainedNodes() []string {
	for i := range run.proof.Routers {
		if s, err := run.status(i); err == nil && s.Leads {
			return s.DrainedNodes
		}
	}
	return nil
}

// awaitPlans waits until all plans are finished. It returns an error if one ends in another state, or on a timeout.
func (run *rolloutRun) awaitPlans(plans []rollout.Plan) (s rolloutservice.Status, err error) {
	last := ""
	for end := time.Now().Add(planTimeout); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for i := range run.proof.Routers {
			status, err := run.status(i)
			if err == nil && status.Leads && len(status.Plans) >= len(plans) {
				s = status
			}
		}
		finished := 0
		text := ""
		for _, p := range s.Plans {
			text += fmt.Sprintf("  %s: %s, %d of %d done, in progress: %s", p.ID, p.State, p.Phases[rollout.PhaseDone.String()], p.Units, strings.Join(p.Holding, ", "))
			if p.State == rollout.StateFinished.String() {
				finished++
			} else if p.Settled() {
				return s, fmt.Errorf("plan %s %s: %s", p.ID, p.State, p.Reason)
			}
		}
		if text != last {
			fmt.Fprintln(run.proof.Output, text)
			last = text
		}
		if finished == len(plans) {
			return s, nil
		}
	}
	return s, errors.New("plans did not end in time:" + last)
}

// watchDrainedNodes checks, by the nodes' own query counts, that a node that a plan reports as unavailable receives no queries.
func (run *rolloutRun) watchDrainedNodes() {
	queries := map[string]int{} // received by a node when it was last seen unavailable, by its name
	for run.sleep(statusInterval) {
		for i := range run.proof.Routers {
			if s, err := run.status(i); err == nil && s.Leads {
				run.checkUnused(unusedNodes(s), queries)
			}
		}
	}
}

// unusedNodes returns the nodes that plans report as unavailable.
func unusedNodes(s rolloutservice.Status) map[string]bool {
	unused := map[string]bool{}
	for _, p := range s.Plans {
		if p.Kind != rollout.KindNodes.String() {
			continue
		}
		for _, holder := range p.Holding {
			if name, unavailable := strings.CutSuffix(holder, " "+rollout.PhaseUnavailable.String()); unavailable {
				unused[name] = true
			}
		}
	}
	return unused
}

// checkUnused compares the query counts of unused nodes with their last counts, and stores the new ones.
func (run *rolloutRun) checkUnused(unused map[string]bool, queries map[string]int) {
	for name := range unused {
		count := run.cluster.Node(name).CommandCount()
		if before, known := queries[name]; known && count > before {
			run.recordViolation("%d commands came to node %s, which is reported as unavailable", count-before, name)
		}
		queries[name] = count
	}
	for name := range queries {
		if !unused[name] {
			delete(queries, name)
		}
	}
}
