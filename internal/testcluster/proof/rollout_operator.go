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

// What an operator does and sees in the proof of rollouts, by the routers' admin sockets.

// sendCommand gives a command through any router that answers, until it is accepted.
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

// sendCommandTo gives a command through one router.
func sendCommandTo(socket string, c rollout.Command) error {
	text, err := rolloutservice.EncodeCommand(c)
	if err != nil {
		return err
	}
	var token string
	return adminsocket.Ask(socket, adminsocket.Request{Command: "fleet-word", Text: text}, &token)
}

// status asks one router how plans stand.
func (run *rolloutRun) status(i int) (s rolloutservice.Status, err error) {
	err = adminsocket.Ask(run.harness.AdminSocket(i), adminsocket.Request{Command: "fleet-status"}, &s)
	return s, err
}

// drainedNodes are the nodes that plans drain, as the router that leads knows it.
func (run *rolloutRun) drainedNodes() []string {
	for i := range run.proof.Routers {
		if s, err := run.status(i); err == nil && s.Leads {
			return s.DrainedNodes
		}
	}
	return nil
}

// awaitPlans waits until all plans are finished, or one halts.
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
			text += fmt.Sprintf("  %s: %s, %d of %d done, %s", p.ID, p.State, p.Phases[rollout.PhaseDone.String()], p.Units, strings.Join(p.Holding, ", "))
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

// watchDrainedNodes watches by the nodes' own count that nothing new comes to one that counts as out of use.
func (run *rolloutRun) watchDrainedNodes() {
	queries := map[string]int{} // that had come to a node when it was last seen out of use
	for run.pause(statusInterval) {
		for i := range run.proof.Routers {
			if s, err := run.status(i); err == nil && s.Leads {
				run.checkUnused(unusedNodes(s), queries)
			}
		}
	}
}

// unusedNodes are the nodes that count as out of use.
func unusedNodes(s rolloutservice.Status) map[string]bool {
	unused := map[string]bool{}
	for _, p := range s.Plans {
		if p.Kind != rollout.KindNodes.String() {
			continue
		}
		for _, holder := range p.Holding {
			if name, away := strings.CutSuffix(holder, " "+rollout.PhaseUnavailable.String()); away {
				unused[name] = true
			}
		}
	}
	return unused
}

// checkUnused compares how many queries have come to unused nodes with the counts before, and keeps the counts.
func (run *rolloutRun) checkUnused(unused map[string]bool, queries map[string]int) {
	for name := range unused {
		count := run.cluster.Node(name).QueryCount()
		if before, known := queries[name]; known && count > before {
			run.violated("%d commands came to %s, which counts as out of use", count-before, name)
		}
		queries[name] = count
	}
	for name := range queries {
		if !unused[name] {
			delete(queries, name)
		}
	}
}
