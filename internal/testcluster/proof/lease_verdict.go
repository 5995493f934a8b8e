package proof

import (
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"cairntiller/internal/testcluster/resource"
)

// countLateActs counts the refused acts, and those among them that no stop of their process explains.
func (run *leaseRun) countLateActs() (refused, unexplained int) {
	for _, a := range run.resource.Operations() {
		if a.Accepted {
			continue
		}
		refused++
		explained := false
		for _, m := range run.harness.Played() {
			does := m.Step.Command == "cont" && len(m.Step.Args) > 0 && "r"+m.Step.Args[0] == a.Holder || m.Step.Command == "up"
			explained = explained || does && a.CheckedAt >= m.At && a.CheckedAt < m.At+lateActWindow
		}
		if !explained {
			unexplained++
		}
	}
	return refused, unexplained
}

// isLinearizable checks each lease's history: acts under terms that only grow, one holder a term.
func (run *leaseRun) isLinearizable() bool {
	type in struct {
		holder string
		term   uint64
	}
	type state struct {
		holder string
		term   uint64
	}
	model := porcupine.Model{
		Init: func() any { return state{} },
		Step: func(s, input, output any) (bool, any) {
			was, act := s.(state), input.(in)
			fits := act.term > was.term || act.term == was.term && act.holder == was.holder
			if fits != output.(bool) {
				return false, s
			}
			if fits {
				return true, state(act)
			}
			return true, s
		},
	}
	clients := map[string]int{}
	byLease := map[string][]porcupine.Operation{}
	for _, a := range run.resource.Operations() {
		if _, known := clients[a.Holder]; !known {
			clients[a.Holder] = len(clients)
		}
		byLease[a.Lease] = append(byLease[a.Lease], porcupine.Operation{ClientId: clients[a.Holder], Input: in{a.Holder, a.Term},
			Call: a.AnnouncedAt, Output: a.Accepted, Return: a.KnownAt})
	}
	for _, ops := range byLease {
		if !porcupine.CheckOperations(model, ops) {
			return false
		}
	}
	return true
}

// judge makes the closing line; the error says which limits do not hold. The run had faults from one time to another, and
// its measurements are how long takeovers and hand-overs took.
func (run *leaseRun) judge(began, faultsEnd int64, takeovers, handOvers []time.Duration) (line string, err error) {
	runs := run.resource.Usages()
	pairs, longest := resource.Overlaps(runs)
	refused, unexplained := run.countLateActs()
	linear := run.isLinearizable()
	share := run.heldShare(began, faultsEnd)
	takeoverMedian, takeoverWorst := medianAndWorst(takeovers)
	handOverMedian, handOverWorst := medianAndWorst(handOvers)
	var wrong []error
	if pairs > 0 {
		wrong = append(wrong, fmt.Errorf("%d runs overlapped, by %.3f s at the longest", pairs, float64(longest)/1e6))
	}
	if unexplained > 0 {
		wrong = append(wrong, fmt.Errorf("%d acts came under a term that was over", unexplained))
	}
	if !linear {
		wrong = append(wrong, errors.New("the acts are not linearizable"))
	}
	if len(runs) == 0 || len(run.resource.Operations()) == 0 {
		wrong = append(wrong, errors.New("nothing was done under a lease"))
	}
	if takeoverWorst > maxTakeover && !run.proof.SafetyOnly {
		wrong = append(wrong, fmt.Errorf("a lease had no holder for %v after a kill, limit %v", takeoverWorst, maxTakeover))
	}
	verdict := "holds"
	if len(wrong) > 0 {
		verdict = "FAILS"
	}
	packets, dropped := run.harness.Relays.PacketCounts()
	line = fmt.Sprintf("proof leases: %s; voters=%d processes=%d overlaps=%d (limit 0) acts=%d runs=%d acts_under_old_term=%d (refused %d, after a stop) "+
		"linearizable=%v held_share=%.2f (under faults) takeover_s p50=%.2f worst=%.2f (limit %.1f) hand_over_ms p50=%d worst=%d (aim %d) "+
		"packets=%d lost=%d lasting=%v seed=%d", verdict, run.proof.Voters, run.proof.Voters+run.proof.Others, pairs, len(run.resource.Operations()), len(runs), unexplained, refused,
		linear, share, takeoverMedian.Seconds(), takeoverWorst.Seconds(), maxTakeover.Seconds(), handOverMedian.Milliseconds(), handOverWorst.Milliseconds(),
		handOverGoal.Milliseconds(), packets, dropped, run.proof.Lasting, run.proof.Seed)
	return line, errors.Join(wrong...)
}
