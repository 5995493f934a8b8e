package proof

import (
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"cairntiller/internal/testcluster/resource"
)

// countRefusedOperations counts the refused operations, and those among them that did not come shortly after their process
// was resumed.
func (run *leaseRun) countRefusedOperations() (refused, unexplained int) {
	for _, a := range run.resource.Operations() {
		if a.Accepted {
			continue
		}
		refused++
		explained := false
		for _, m := range run.harness.Played() {
			resumes := m.Step.Command == "cont" && len(m.Step.Args) > 0 && "r"+m.Step.Args[0] == a.Holder || m.Step.Command == "up"
			explained = explained || resumes && a.CheckedAt >= m.At && a.CheckedAt < m.At+lateOperationWindow
		}
		if !explained {
			unexplained++
		}
	}
	return refused, unexplained
}

// isLinearizable checks each lease's history: the terms of operations never decrease, and each term has one holder.
func (run *leaseRun) isLinearizable() bool {
	type claim struct {
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
			last, next := s.(state), input.(claim)
			valid := next.term > last.term || next.term == last.term && next.holder == last.holder
			if valid != output.(bool) {
				return false, s
			}
			if valid {
				return true, state(next)
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
		byLease[a.Lease] = append(byLease[a.Lease], porcupine.Operation{ClientId: clients[a.Holder], Input: claim{a.Holder, a.Term},
			Call: a.AnnouncedAt, Output: a.Accepted, Return: a.KnownAt})
	}
	for _, ops := range byLease {
		if !porcupine.CheckOperations(model, ops) {
			return false
		}
	}
	return true
}

// closingLine returns the proof's closing line; the error lists the limits that do not hold. The faults lasted from began to
// faultsEnd.
func (run *leaseRun) closingLine(began, faultsEnd int64, takeovers, handOvers []time.Duration) (line string, err error) {
	runs := run.resource.Usages()
	pairs, longest := resource.Overlaps(runs)
	refused, unexplained := run.countRefusedOperations()
	linear := run.isLinearizable()
	share := run.heldShare(began, faultsEnd)
	takeoverMedian, takeoverWorst := medianAndWorst(takeovers)
	handOverMedian, handOverWorst := medianAndWorst(handOvers)
	var errs []error
	if pairs > 0 {
		errs = append(errs, fmt.Errorf("%d pairs of commands overlapped under one lease, by up to %.3f s", pairs, float64(longest)/1e6))
	}
	if unexplained > 0 {
		errs = append(errs, fmt.Errorf("%d operations came under an outdated term", unexplained))
	}
	if !linear {
		errs = append(errs, errors.New("the operations are not linearizable"))
	}
	if len(runs) == 0 || len(run.resource.Operations()) == 0 {
		errs = append(errs, errors.New("no operation or no command ran under a lease"))
	}
	if takeoverWorst > maxTakeover && !run.proof.SafetyOnly {
		errs = append(errs, fmt.Errorf("a lease had no holder for %v after a kill, limit %v", takeoverWorst, maxTakeover))
	}
	verdict := "holds"
	if len(errs) > 0 {
		verdict = "FAILS"
	}
	packets, dropped := run.harness.Relays.PacketCounts()
	line = fmt.Sprintf("proof leases: %s; voters=%d processes=%d overlaps=%d (limit 0) acts=%d runs=%d acts_under_old_term=%d (refused %d, after a stop) "+
		"linearizable=%v held_share=%.2f (under faults) takeover_s p50=%.2f worst=%.2f (limit %.1f) hand_over_ms p50=%d worst=%d (aim %d) "+
		"packets=%d lost=%d lasting=%v seed=%d", verdict, run.proof.Voters, run.proof.Voters+run.proof.Others, pairs, len(run.resource.Operations()), len(runs), unexplained, refused,
		linear, share, takeoverMedian.Seconds(), takeoverWorst.Seconds(), maxTakeover.Seconds(), handOverMedian.Milliseconds(), handOverWorst.Milliseconds(),
		targetHandOver.Milliseconds(), packets, dropped, run.proof.Lasting, run.proof.Seed)
	return line, errors.Join(errs...)
}
