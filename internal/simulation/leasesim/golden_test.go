package leasesim

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"cairntiller/internal/lease"
)

// recording is a run whose actions were recorded before the lease packages were refactored for readability.
type recording struct {
	name string
	run  func(observe func(at int64, process string, action lease.Action)) *Simulation
}

// recordings returns the runs: mixed faults, one for each planted mistake, and clusters without random faults whose leases
// are handed over, taken over from a killed holder, and carried over while voters restart.
func recordings() (all []recording) {
	newObserved := func(scenario Scenario, observe func(at int64, process string, action lease.Action)) *Simulation {
		sim := New(scenario)
		sim.Observe = observe
		return sim
	}
	for seed := range uint64(40) {
		all = append(all, recording{fmt.Sprintf("mixed-%02d", seed), func(observe func(int64, string, lease.Action)) *Simulation {
			sim := newObserved(MixedFaults(seed), observe)
			sim.Run(sim.Duration)
			sim.EndFaults()
			sim.Run(sim.Now + 4*sim.Length)
			return sim
		}})
	}
	for mistake := None + 1; mistake < MistakeCount; mistake++ {
		all = append(all, recording{"planted-" + mistake.String(), func(observe func(int64, string, lease.Action)) *Simulation {
			sim := newObserved(MixedFaults(uint64(mistake)).WithMistake(mistake), observe)
			sim.Run(sim.Duration)
			return sim
		}})
	}
	for seed, voters := range []int{3, 5, 3, 5} {
		all = append(all, recording{fmt.Sprintf("handover-%d", seed), func(observe func(int64, string, lease.Action)) *Simulation {
			sim := newObserved(Scenario{Seed: uint64(seed), Voters: voters, NonVoters: 3, Leases: 12, RequestersPerLease: 4, Length: 2_000_000, Drift: 10_000, DurableVoters: seed >= 2, NoFaults: true}, observe)
			sim.Run(8_000_000)
			for l := range 12 {
				sim.Release(l, (l+seed)%(voters+3))
				sim.Run(sim.Now + 300_000)
			}
			for i := range voters {
				sim.Kill(i, 300_000)
				sim.Run(sim.Now + 5_000_000)
			}
			sim.Kill(voters, -1)
			sim.Run(sim.Now + 6_000_000)
			return sim
		}})
	}
	return all
}

// recordedForm is the recorded form of an action: a number for its type, and one set of fields for all types.
type recordedForm struct {
	kind        int
	to, lease   string
	term        uint64
	until       int64
	incarnation uint64
	who, why    string
	message     lease.Message
}

func formOf(action lease.Action) recordedForm {
	switch a := action.(type) {
	case lease.Send:
		return recordedForm{kind: 1, to: a.To, message: a.Message}
	case lease.StoreGrant:
		return recordedForm{kind: 2, lease: a.Lease, term: a.Term, incarnation: a.Incarnation, who: a.Holder}
	case lease.StoreVoterSet:
		return recordedForm{kind: 3, term: a.Number}
	case lease.DeleteGrant:
		return recordedForm{kind: 4, lease: a.Lease}
	case lease.Acquired:
		return recordedForm{kind: 5, lease: a.Lease, term: a.Term, until: a.Until}
	case lease.Extended:
		return recordedForm{kind: 6, lease: a.Lease, term: a.Term, until: a.Until}
	case lease.Lost:
		return recordedForm{kind: 7, lease: a.Lease, term: a.Term, why: a.Reason}
	case lease.YieldRequested:
		return recordedForm{kind: 8, lease: a.Lease, term: a.Term, who: a.Next, why: a.Reason}
	case lease.Warning:
		return recordedForm{kind: 9, who: a.About, why: a.Text}
	case lease.ClockOutOfBound:
		return recordedForm{kind: 10, who: a.Voter, why: a.Text}
	}
	panic(fmt.Sprintf("action type %T has no recorded form", action))
}

// writeAction writes every field of an action and of the message that it sends in a format that is independent of Go names.
func writeAction(to io.Writer, at int64, process string, action lease.Action) {
	o := formOf(action)
	fmt.Fprintf(to, "%d %s %d %q %q %d %d %d %q %q\n", at, process, o.kind, o.to, o.lease, o.term, o.until, o.incarnation, o.who, o.why)
	if o.message == nil {
		return
	}
	m := formOfMessage(o.message)
	fmt.Fprintf(to, " %d %q %d %d %d %q %d %d %d %d %d %d %d %d\n", m.kind, m.from, m.incarnation, m.requester, m.setNumber, m.setNames,
		m.requestID, m.endedGrants, m.generation, m.renewedCount, m.voterClock, m.termFloor, m.longestLease, m.setAge)
	for _, l := range m.leases {
		fmt.Fprintf(to, "  %q %d %d %v %v %d %d %d %q %d\n", l.Lease, l.Term, l.Length, l.Full, l.CarryOver, l.Priority, l.Ticket, l.Verdict,
			l.Holder, l.Wait)
	}
}

// recordedMessage is the recorded form of a message: one set of fields for all types.
type recordedMessage struct {
	kind                 int
	from                 string
	incarnation          uint64
	requester            uint64
	setNumber            uint64
	setNames             []string
	requestID            uint64
	endedGrants          uint64
	generation           uint64
	renewedCount         int
	voterClock           int64
	termFloor            uint64
	longestLease, setAge int64
	leases               []lease.LeaseVerdict
}

func formOfMessage(message lease.Message) recordedMessage {
	header := message.CommonHeader()
	r := recordedMessage{from: header.From, incarnation: header.Incarnation, setNumber: header.SetNumber}
	setRequest := func(kind int, h *lease.RequestHeader) {
		r.kind, r.requestID, r.generation = kind, h.RequestID, h.Generation
	}
	setResponse := func(kind int, h *lease.ResponseHeader) {
		r.kind, r.requestID, r.generation = kind, h.RequestID, h.Generation
		r.requester, r.endedGrants, r.voterClock, r.setNames = h.Requester, h.EndedGrants, h.VoterClock, h.SetNames
	}
	add := func(l lease.LeaseVerdict) { r.leases = append(r.leases, l) }
	switch m := message.(type) {
	case *lease.GrantRequest:
		setRequest(1, &m.RequestHeader)
		for _, wanted := range m.Leases {
			add(lease.LeaseVerdict{WantedLease: wanted})
		}
	case *lease.RenewRequest:
		setRequest(2, &m.RequestHeader)
	case *lease.Release:
		setRequest(3, &m.RequestHeader)
		for _, l := range m.Leases {
			add(lease.LeaseVerdict{WantedLease: lease.WantedLease{Lease: l.Lease, Term: l.Term}, Holder: l.Next})
		}
	case *lease.GrantResponse:
		setResponse(4, &m.ResponseHeader)
		r.leases = m.Leases
	case *lease.RenewResponse:
		setResponse(5, &m.ResponseHeader)
		r.renewedCount = m.RenewedCount
		for _, l := range m.Waiting {
			add(lease.LeaseVerdict{WantedLease: lease.WantedLease{Lease: l.Lease, Term: l.Term, Priority: l.Priority}, Holder: l.First, Wait: l.WaitedFor})
		}
	case *lease.ReservationNotice:
		r.kind, r.voterClock = 6, m.VoterClock
		for _, l := range m.Leases {
			add(lease.LeaseVerdict{WantedLease: lease.WantedLease{Lease: l.Lease, Term: l.Term}})
		}
	case *lease.VoterStatus:
		r.kind, r.voterClock, r.setNames = 7, m.VoterClock, m.SetNames
		r.termFloor, r.longestLease, r.setAge = m.TermFloor, m.LongestLease, m.SetAge
	default:
		panic(fmt.Sprintf("message type %T has no recorded form", message))
	}
	return r
}

// TestActionsAsRecorded replays recorded runs and compares a hash over every action of every process, in order, with every
// field of each message. It guards against refactorings of the voter or the candidate that change timing without violating
// an invariant, such as one lease in a thousand granted slightly later, which no other test detects. The hashes in
// testdata/actions.txt were recorded before such a refactoring. A change that intends to alter behaviour must record them
// again and say so.
func TestActionsAsRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/actions.txt")
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		name, values, _ := strings.Cut(line, " ")
		recorded[name] = values
	}
	all := recordings()
	if len(recorded) != len(all) {
		t.Errorf("%d runs are recorded, %d are replayed", len(recorded), len(all))
	}
	for _, r := range all {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			hash, count := xxhash.New(), 0
			sim := r.run(func(at int64, process string, action lease.Action) {
				writeAction(hash, at, process, action)
				count++
			})
			result := sim.Result()
			got := fmt.Sprintf("actions=%d hash=%016x events=%d eventhash=%016x", count, hash.Sum64(), result.Events, result.Hash)
			if want := recorded[r.name]; got != want {
				t.Errorf("%s: got %s, recorded %s", r.name, got, want)
			}
		})
	}
}
