package rolloutservice

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/rollout"
	"cairntiller/internal/sexp"
)

// What operators may ask of a running router; cmd/cairntiller speaks it.

// PlanLine is one plan as whoever was asked knows it.
type PlanStatus struct {
	ID      string         `json:"id"`
	Kind    string         `json:"kind"`
	State   string         `json:"state"`
	Reason  string         `json:"why"`
	Wave    int            `json:"wave"`
	Units   int            `json:"units"`
	Phases  map[string]int `json:"phases"`
	Holding []string       `json:"holding,omitempty"` // units with a slot, with their phase
}

// Status is how releases stand, as one router knows it.
type Status struct {
	Router           string       `json:"router"`
	Leads            bool         `json:"leads"`
	Leader           string       `json:"leader,omitempty"` // as far as this router has heard
	NotLeadingReason string       `json:"doubt,omitempty"`  // why it holds the lease and does not lead
	Term             uint64       `json:"term,omitempty"`
	Plans            []PlanStatus `json:"plans"`
	DrainedNodes     []string     `json:"drains,omitempty"`
}

func (s *Status) addRecord(r *rollout.Record) {
	s.DrainedNodes = rollout.DrainStatement(r).DrainedNodes
	for _, p := range r.Plans {
		line := PlanStatus{ID: p.Plan.ID, Kind: p.Plan.Kind.String(), State: p.State.String(), Reason: p.Reason, Wave: p.Wave + 1, Units: len(p.Units), Phases: map[string]int{}}
		for i, u := range p.Units {
			line.Phases[u.Phase.String()]++
			if u.Phase.HoldsSlot() {
				line.Holding = append(line.Holding, p.Plan.Units[i]+" "+u.Phase.String())
			}
		}
		s.Plans = append(s.Plans, line)
	}
}

// Over tells whether nothing more happens by itself.
func (l *PlanStatus) Settled() bool {
	return l.State == rollout.StateFinished.String() || l.State == rollout.StateRolledBack.String() || l.State == rollout.StateHalted.String()
}

// Serve answers operators.
func (r *Service) Serve(s *adminsocket.Server) {
	s.Handle("fleet-status", func(ctx context.Context, x *adminsocket.Session) error {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		st, err := r.Status(ctx)
		return errors.Join(err, x.Reply(st))
	})
	s.Handle("fleet-word", func(ctx context.Context, x *adminsocket.Session) error {
		w, err := decodeCommand(x.Text)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		if err := r.Execute(ctx, *w); err != nil {
			return err
		}
		return x.Reply(w.Token)
	})
}

// Word hands an operator's word to whoever leads and waits until a majority keeps what it does. It is said again until it
// is taken or refused: its token tells that it is the same.
func (r *Service) Execute(ctx context.Context, w rollout.Command) error {
	if w.Token == "" {
		var b [8]byte
		rand.Read(b[:])
		w.Token = fmt.Sprintf("%x", b)
	}
	reply := make(chan string, 1)
	r.post(func(int64) { r.waiting[w.Token] = reply })
	defer r.post(func(int64) { delete(r.waiting, w.Token) })
	last := "no router is known to lead"
	for {
		r.post(func(int64) {
			to := r.knownLeader
			if r.term > 0 {
				to = r.self
			}
			if to != "" {
				r.sendMessage(to, commandMessage{&w})
			}
		})
		select {
		case why := <-reply:
			switch why {
			case "":
				return nil
			case notLeading:
				last = why
			default:
				return errors.New(why)
			}
		case <-time.After(commandRetryInterval):
		case <-ctx.Done():
			return fmt.Errorf("no reply of a leader: %s", last)
		}
	}
}

// WordText is a word as the socket takes it.
func EncodeCommand(w rollout.Command) (string, error) {
	return encodeCommand(&w)
}

func (r *Service) handleReply(token string, ok bool, why string) {
	if c := r.waiting[token]; c != nil {
		if !ok {
			why = cmp.Or(why, "refused")
		}
		select {
		case c <- why:
		default:
		}
	}
}

var kindsByName = map[string]rollout.Kind{"restart": rollout.KindRestart, "version": rollout.KindVersion, "nodes": rollout.KindNodes}

// ReadPlan reads an operator's plan from a file.
func ReadPlan(path string) (p rollout.Plan, err error) {
	file, err := sexp.ReadFile(path)
	if err != nil {
		return p, err
	}
	part := file.Part("plan")
	b := part.Part("budget")
	kind := part.Text("kind", "")
	p = rollout.Plan{ID: part.Text("id", ""), Kind: kindsByName[kind], Units: part.Texts("units"), TargetVersion: uint64(part.Integer("want", 0, 0, 1<<40)),
		PreviousVersion: uint64(part.Integer("was", 0, 0, 1<<40)), WatchTime: part.Duration("watch", 0, 0, 86_400_000_000), DrainTime: part.Duration("rest", 0, 0, 86_400_000_000),
		ProgressTimeout: part.Duration("patience", 0, 0, 86_400_000_000), NoRollback: part.Text("stay", "no") == "yes",
		Budget: rollout.Budget{MaxUnavailable: b.Integer("most", 0, 0, rollout.MaxUnits), MaxShare: b.Number("share", 0, 0, 100) / 100, MaxPerZone: b.Integer("zone", 0, 0, rollout.MaxUnits),
			MaxPerGroup: b.Integer("group", 0, 0, 100), MinReplicas: b.Integer("replicas", 0, 0, 100), MaxGroupWork: b.Number("work", 0, 0, 100) / 100}}
	for _, one := range part.Texts("waves") {
		n, err := strconv.Atoi(one)
		if err != nil || n < 1 {
			part.AddFault("waves", strconv.Quote(one), "how many units, such as 3")
		}
		p.WaveSizes = append(p.WaveSizes, n)
	}
	if p.Kind == 0 {
		part.AddFault("kind", strconv.Quote(kind), "one of nodes, restart, version")
	} else if why := p.Wrong(); why != "" {
		part.AddFault("", why, "a plan that can be played")
	}
	if slices.Contains(p.Units, "") {
		part.AddFault("units", "an empty name", "names of members or nodes")
	}
	return p, file.Faults()
}
