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
type PlanLine struct {
	ID      string         `json:"id"`
	Kind    string         `json:"kind"`
	State   string         `json:"state"`
	Why     string         `json:"why"`
	Wave    int            `json:"wave"`
	Units   int            `json:"units"`
	Phases  map[string]int `json:"phases"`
	Holding []string       `json:"holding,omitempty"` // units with a slot, with their phase
}

// Status is how releases stand, as one router knows it.
type Status struct {
	Router string     `json:"router"`
	Leads  bool       `json:"leads"`
	Chief  string     `json:"leader,omitempty"` // as far as this router has heard
	Doubt  string     `json:"doubt,omitempty"`  // why it holds the lease and does not lead
	Term   uint64     `json:"term,omitempty"`
	Plans  []PlanLine `json:"plans"`
	Drains []string   `json:"drains,omitempty"`
}

func (s *Status) fill(r *rollout.Record) {
	s.Drains = rollout.Drained(r).Drains
	for _, p := range r.Plans {
		line := PlanLine{ID: p.Plan.ID, Kind: p.Plan.Kind.String(), State: p.State.String(), Why: p.Why, Wave: p.Wave + 1, Units: len(p.Units), Phases: map[string]int{}}
		for i, u := range p.Units {
			line.Phases[u.Phase.String()]++
			if u.Phase.Holds() {
				line.Holding = append(line.Holding, p.Plan.Units[i]+" "+u.Phase.String())
			}
		}
		s.Plans = append(s.Plans, line)
	}
}

// Over tells whether nothing more happens by itself.
func (l *PlanLine) Over() bool {
	return l.State == rollout.Finished.String() || l.State == rollout.Backed.String() || l.State == rollout.Halted.String()
}

// Serve answers operators.
func (r *Releasing) Serve(s *adminsocket.Server) {
	s.Handle("fleet-status", func(ctx context.Context, x *adminsocket.Exchange) error {
		ctx, cancel := context.WithTimeout(ctx, wordWait)
		defer cancel()
		st, err := r.Status(ctx)
		return errors.Join(err, x.Say(st))
	})
	s.Handle("fleet-word", func(ctx context.Context, x *adminsocket.Exchange) error {
		w, err := decodeCommand(x.Text)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, wordWait)
		defer cancel()
		if err := r.Word(ctx, *w); err != nil {
			return err
		}
		return x.Say(w.Token)
	})
}

// Word hands an operator's word to whoever leads and waits until a majority keeps what it does. It is said again until it
// is taken or refused: its token tells that it is the same.
func (r *Releasing) Word(ctx context.Context, w rollout.Word) error {
	if w.Token == "" {
		var b [8]byte
		rand.Read(b[:])
		w.Token = fmt.Sprintf("%x", b)
	}
	reply := make(chan string, 1)
	r.post(func(int64) { r.replies[w.Token] = reply })
	defer r.post(func(int64) { delete(r.replies, w.Token) })
	last := "no router is known to lead"
	for {
		r.post(func(int64) {
			to := r.chief
			if r.term > 0 {
				to = r.self
			}
			if to != "" {
				r.say(to, commandMessage{&w})
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
		case <-time.After(askGap):
		case <-ctx.Done():
			return fmt.Errorf("no reply of a leader: %s", last)
		}
	}
}

// WordText is a word as the socket takes it.
func WordText(w rollout.Word) (string, error) {
	return encodeCommand(&w)
}

func (r *Releasing) replied(token string, ok bool, why string) {
	if c := r.replies[token]; c != nil {
		if !ok {
			why = cmp.Or(why, "refused")
		}
		select {
		case c <- why:
		default:
		}
	}
}

var kinds = map[string]rollout.Kind{"restart": rollout.Restart, "version": rollout.Version, "nodes": rollout.Nodes}

// ReadPlan reads an operator's plan from a file.
func ReadPlan(path string) (p rollout.Plan, err error) {
	file, err := sexp.ReadFile(path)
	if err != nil {
		return p, err
	}
	part := file.Part("plan")
	b := part.Part("budget")
	kind := part.Text("kind", "")
	p = rollout.Plan{ID: part.Text("id", ""), Kind: kinds[kind], Units: part.Texts("units"), Want: uint64(part.Integer("want", 0, 0, 1<<40)),
		Was: uint64(part.Integer("was", 0, 0, 1<<40)), Watch: part.Duration("watch", 0, 0, 86_400_000_000), Rest: part.Duration("rest", 0, 0, 86_400_000_000),
		Patience: part.Duration("patience", 0, 0, 86_400_000_000), Stay: part.Text("stay", "no") == "yes",
		Budget: rollout.Budget{Most: b.Integer("most", 0, 0, rollout.MostUnits), Share: b.Number("share", 0, 0, 100) / 100, Zone: b.Integer("zone", 0, 0, rollout.MostUnits),
			Group: b.Integer("group", 0, 0, 100), Replicas: b.Integer("replicas", 0, 0, 100), Work: b.Number("work", 0, 0, 100) / 100}}
	for _, one := range part.Texts("waves") {
		n, err := strconv.Atoi(one)
		if err != nil || n < 1 {
			part.AddFault("waves", strconv.Quote(one), "how many units, such as 3")
		}
		p.Waves = append(p.Waves, n)
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
