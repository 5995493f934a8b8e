package assignmentsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"cairntiller/internal/assignment"
)

// instance is one simulated instance.
type instance struct {
	name        string
	table       *assignment.Table
	incarnation uint64
	clockOffset int64 // us that its clock is ahead of the simulated time
	up          bool
	paused      bool // as by SIGSTOP
	muted       bool // it runs nothing though its heartbeats go on
	side        int  // instances of different sides can't reach each other
	stateTaken  bool // it has been handed the state of the first member that it joined

	views  []view              // of the other instances
	inbox  map[int64][]batch   // by the step in which it is read
	unread []batch             // what came while it was paused
	unsent []assignment.Update // learned since its last broadcast
	due    []assignment.DueRun // what Table.Tick returned last
	random *rand.Rand
	spent  time.Duration // wall time in its table
}

// view is what an instance believes of another, and what it will find out.
type view struct {
	alive       bool
	incarnation uint64
	reachable   bool
	knownAt     int64 // when it finds out that reachable has changed
}

// batch is updates that were sent together; all receivers share them.
type batch struct {
	updates []assignment.Update
	sentAt  int64
}

// running reports whether an instance is up and not paused.
func (in *instance) running() bool { return in.up && !in.paused }

// clock is an instance's own time.
func (in *instance) clock(c *Cluster) int64 { return c.Now + in.clockOffset + 1 }

// updateView lets an instance find out whether another, at an index, can be reached.
func (in *instance) updateView(c *Cluster, index int, other *instance, reachable bool) {
	v := &in.views[index]
	if reachable != v.reachable {
		v.reachable = reachable
		v.knownAt = c.Now + in.random.Int64N(joinSpan)
		if !reachable {
			v.knownAt = c.Now + detectionMin + in.random.Int64N(detectionSpan)
		}
	}
	if c.Now < v.knownAt {
		return
	}
	now := in.clock(c)
	switch {
	case reachable && (!v.alive || v.incarnation != other.incarnation):
		joined := !v.alive
		v.alive = true
		v.incarnation = other.incarnation
		in.table.MemberUp(now, other.name, 1, other.incarnation)
		if joined && !in.stateTaken {
			in.takeState(c, now, other)
		}
	case !reachable && v.alive:
		v.alive = false
		in.table.MemberDown(now, other.name, v.incarnation, false)
	}
}

// takeState takes what the first member that an instance joins hands to it.
func (in *instance) takeState(c *Cluster, now int64, other *instance) {
	in.stateTaken = true
	if times := other.table.Rejoins(in.name); times > 0 {
		in.table.HandleRejoin(now, times)
	}
	in.receive(c, batch{updates: other.newestUpdates(c), sentAt: c.Now})
}

// newestUpdates is what an instance hands to one that joins.
func (in *instance) newestUpdates(c *Cluster) []assignment.Update {
	var updates []assignment.Update
	for _, n := range c.nodes {
		owner, term, age := in.table.Owner(in.clock(c), n.key)
		if age < 0 {
			continue
		}
		updates = append(updates, assignment.Update{
			Key:         n.key,
			Owner:       owner,
			Term:        term,
			Age:         age,
			NodeStarted: n.started,
			Position:    max(1, c.Now-age),
		})
	}
	return updates
}

// turn is one step of one instance.
func (in *instance) turn(c *Cluster, step int64) {
	switch {
	case !in.up:
	case in.paused:
		in.keepUnread(c, step)
	default:
		in.tick(c, step)
	}
}

// keepUnread keeps what comes while an instance is paused, as its socket does.
func (in *instance) keepUnread(c *Cluster, step int64) {
	for _, b := range in.inbox[step] {
		kept := batch{updates: slices.Clone(b.updates), sentAt: b.sentAt} // the other receivers read the same updates
		for i := range kept.updates {
			kept.updates[i].Age += c.Now - b.sentAt
		}
		in.unread = append(in.unread, kept)
	}
	delete(in.inbox, step)
}

// tick lets an instance read what lay unread, tick, and read what comes in a step.
func (in *instance) tick(c *Cluster, step int64) {
	began := time.Now()
	now := in.clock(c)
	for _, b := range in.unread { // it looks as old as when it came
		for _, update := range b.updates {
			in.table.HandleUpdate(now, update)
		}
	}
	in.unread = nil
	in.due = in.table.Tick(now, in.due)
	for _, b := range in.inbox[step] {
		in.receive(c, b)
	}
	delete(in.inbox, step)
	in.spent += time.Since(began)
}

func (in *instance) receive(c *Cluster, b batch) {
	for _, update := range b.updates {
		update.Age += c.Now - b.sentAt
		in.table.HandleUpdate(in.clock(c), update)
	}
}
