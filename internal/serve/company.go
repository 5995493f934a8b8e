package serve

import (
	"fmt"
	"log/slog"
	"reflect"
	"sync/atomic"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/engine"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/membership"
	"cairntiller/internal/rolloutservice"
	"cairntiller/internal/sexp"
	"cairntiller/internal/sharedprobes"
	"cairntiller/internal/sql"
	"cairntiller/internal/versionaudit"
)

// Instead is what tests and proofs put in the place of the machine's own; each may be nil.
type TestHooks struct {
	Wrap   membership.WrapTransport    // stands before the network among instances
	Clock  func() int64                // of leases
	Leases func(*leaseservice.Service) // is told of the router's part in leases, once it has begun
}

// Check reads the operator's file as a start would, for a router whose own name is not known; the error holds every
// fault.
func CheckFile(path string) error {
	_, err := readParts(path, "n0")
	return err
}

// wishes are the parts of the operator's file that concern what a router does with others, each as its package reads it.
type wishes struct {
	fleet   membership.Settings
	duties  sharedprobes.Settings
	leases  leaseservice.Settings
	rolls   versionaudit.Settings
	control adminsocket.Settings
	release rolloutservice.Settings
}

// readParts reads the operator's file, "" for none.
func readParts(path, name string) (w wishes, err error) {
	file := sexp.EmptyFile()
	if path != "" {
		if file, err = sexp.ReadFile(path); err != nil {
			return w, err
		}
		sql.ReadSettings(file.Part("statements")) // its faults; for classify, no router uses it yet
	}
	own, duties, leases, releases := file.Part("fleet"), file.Part("duties"), file.Part("leases"), file.Part("releases")
	w = wishes{membership.ReadSettings(own, name), sharedprobes.ReadSettings(duties), leaseservice.ReadSettings(leases), versionaudit.ReadSettings(leases.Part("roll-call")),
		adminsocket.ReadSettings(file.Part("control")), rolloutservice.ReadSettings(releases)}
	if w.duties.Enabled && !own.Present() {
		duties.AddFault("", "duties without a fleet", "a part fleet, which says who shares them")
	}
	if w.leases.Given && !own.Present() {
		leases.AddFault("", "leases without a fleet", "a part fleet, which says among whom")
	}
	if w.release.Given && !w.leases.Given {
		releases.AddFault("", "releases without leases", "a part leases, whose voters keep what is decided")
	}
	return w, file.Faults()
}

// company is what a router does together with others, and for operators on its machine; any part may be nil.
type company struct {
	name      string
	wishes    wishes
	fleet     *membership.Service
	shares    *sharedprobes.Service
	leases    *leaseservice.Service
	rolls     *versionaudit.Auditor
	control   *adminsocket.Server
	releasing atomic.Pointer[rolloutservice.Service] // messages may come before it has begun
}

// join starts what the operator's file asks for. It is called before the engine runs.
func join(w wishes, name string, now func() int64, e *engine.Engine, me *self, targets []int64, probes bool, in TestHooks) (c *company, err error) {
	c = &company{name: name, wishes: w}
	defer func() {
		if err != nil {
			c.end()
		}
	}()
	if w.control.Enabled {
		if c.control, err = adminsocket.Listen(w.control); err != nil {
			return c, err
		}
	}
	if w.duties.Enabled && !probes {
		slog.Warn("the settings allow no probes, so none are shared")
		w.duties.Enabled = false
	}
	if !w.duties.Enabled && !w.leases.Given {
		return c, nil
	}
	var events membership.Events
	if w.duties.Enabled {
		c.shares = sharedprobes.New(e)
		events = c.shares.Events(now)
	}
	events.Message = c.direct
	if down := events.MemberDown; w.leases.Given {
		events.MemberDown = func(name string, born uint64, left bool) {
			if down != nil {
				down(name, born, left)
			}
			c.leases.MemberGone(name)
		}
	}
	ready := make(chan struct{}) // nothing is sent before there is a fleet
	send := func(to string, kind uint8, body []byte) error {
		<-ready
		return c.fleet.SendDatagram(to, kind, body)
	}
	if w.leases.Given {
		clock := in.Clock
		if clock == nil {
			clock = leaseservice.Clock
		}
		c.leases = leaseservice.New(w.fleet.Name, w.fleet.Cluster, w.leases, clock, send)
		c.rolls = versionaudit.New(w.fleet.Name, w.rolls, c.leases, func() []string { <-ready; return c.fleet.Members() }, send)
	}
	if c.fleet, err = membership.Start(w.fleet, events, in.Wrap); err != nil {
		return c, fmt.Errorf("fleet: %w", err)
	}
	close(ready)
	if c.shares != nil {
		c.shares.Join(now(), c.fleet, w.fleet, w.duties)
		e.SetSharedProbes(c.shares)
	}
	if c.leases != nil {
		c.leases.Start()
		c.rolls.Start(w.leases.LongestLease)
		if in.Leases != nil {
			go in.Leases(c.leases)
		}
		if c.control != nil {
			c.leases.RegisterCommands(c.control)
		}
		if w.release.Given {
			e.EnableClusterServices(targets)
			r := rolloutservice.New(w.fleet.Name, w.release, w.leases.Voters.Names, w.leases.LongestLease, me, leaseservice.Clock, c.leases, c.fleet.Members, c.fleet.Send)
			r.Start()
			c.releasing.Store(r)
			if c.control != nil {
				r.Serve(c.control)
			}
		}
	}
	return c, nil
}

// direct hands a member's message to whom it is for.
func (c *company) direct(from string, _ uint64, kind uint8, body []byte) {
	switch {
	case c.leases == nil:
	case kind == membership.KindRollout:
		if r := c.releasing.Load(); r != nil {
			r.Receive(from, body)
		}
	case kind == membership.KindVersionAudit:
		c.rolls.HandleMessage(from, body)
	default:
		c.leases.Receive(from, kind, body)
	}
}

// listed tells which version of the node list is in use.
func (c *company) listed(version int64) {
	if c.rolls != nil {
		c.rolls.SetVersion(version)
	}
}

// reload reads the operator's file again: the fleet's keys and the set of voters change in service, all else takes a
// new start.
func (c *company) reload(path string) {
	if path == "" {
		return
	}
	fresh, err := readParts(path, c.name)
	if err != nil {
		rejected.Add()
		slog.Error("operator's file rejected; the old one holds", "err", err)
		return
	}
	if c.fleet != nil && !reflect.DeepEqual(fresh.fleet.Keys, c.wishes.fleet.Keys) {
		if err := c.fleet.ReplaceKeys(fresh.fleet.Keys); err != nil {
			slog.Error("keys not changed", "err", err)
			return
		}
		keyed.Add()
		slog.Info("keys changed", "keys", len(fresh.fleet.Keys))
	}
	c.wishes.fleet.Keys = fresh.fleet.Keys
	if c.leases != nil && !reflect.DeepEqual(fresh.leases.Voters, c.wishes.leases.Voters) {
		if refused := c.leases.SetVoters(fresh.leases.Voters); refused != "" {
			rejected.Add()
			slog.Error("voters not changed", "why", refused)
		} else {
			slog.Info("voters changed", "number", fresh.leases.Voters.Number, "names", fresh.leases.Voters.Names)
			c.wishes.leases.Voters = fresh.leases.Voters
		}
	}
	fresh.leases.Voters = c.wishes.leases.Voters
	if !reflect.DeepEqual(fresh, c.wishes) {
		slog.Warn("what changed in the operator's file beside keys and voters takes a new start")
	}
}

// leave ends what was begun, in order: the others take over while the router answers what it owes.
func (c *company) leave() {
	if c.rolls != nil {
		c.rolls.Stop()
	}
	if r := c.releasing.Load(); r != nil {
		r.Stop()
	}
	if c.leases != nil {
		c.leases.Shutdown()
	}
	c.end()
}

// end ends it without regard to leases.
func (c *company) end() {
	if c.control != nil {
		c.control.Close()
	}
	if c.fleet != nil {
		c.fleet.Leave()
	}
}
