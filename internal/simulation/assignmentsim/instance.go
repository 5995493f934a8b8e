package assignmentsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"cairntiller/internal/assignment"
)

// instance is a simulated instance.
type instance struct {
	name           string
	table          *assignment.Table
	incarnation    uint64
	clockOffset    int64 // offset of its clock from the simulated time, us
	up             bool
	paused         bool // suspended, as by SIGSTOP
	tasksSuspended bool // it runs no tasks, but its heartbeats continue
	partition      int  // instances in different partitions cannot reach each other
	stateLoaded    bool // it has loaded the state of the first member that it joined

	views     []view              // its view of each instance, by index
	inbox     map[int64][]batch   // received updates, by the step in which they are read
	unread    []batch             // updates that arrived while it was paused
	unsent    []assignment.Update // updates since its last broadcast
	due       []assignment.DueRun // last result of Table.Tick
	random    *rand.Rand
	tableTime time.Duration // wall time spent in its table
}

// view is an instance's view of another, and the actual reachability that it has yet to detect.
type view struct {
	alive       bool // as the instance sees it
	incarnation uint64
	reachable   bool  // actual reachability
	detectedAt  int64 // when the instance detects the last change of reachable
}

// batch is a set of updates sent in one broadcast. All receivers share the slice.
type batch struct {
	updates []assignment.Update
	sentAt  int64
}

// running reports whether the instance is up and not paused.
func (in *instance) running() bool { return in.up && !in.paused }

// clock returns the time by the instance's own clock.
func (in *instance) clock(c *Cluster) int64 { return c.Now + in.clockOffset + 1 }

// updateView updates the instance's view of another one, given its index and whether it is reachable.
func (in *instance) updateView(c *Cluster, index int, other *instance, reachable bool) {
	v := &in.views[index]
	if reachable != v.reachable {
		v.reachable = reachable
		v.detectedAt = c.Now + in.random.Int64N(maxJoinTime)
		if !reachable {
			v.detectedAt = c.Now + minDetectionTime + in.random.Int64N(maxExtraDetectionTime)
		}
	}
	if c.Now < v.detectedAt {
		return
	}
	now := in.clock(c)
	switch {
	case reachable && (!v.alive || v.incarnation != other.incarnation):
		joined := !v.alive
		v.alive = true
		v.incarnation = other.incarnation
		in.table.MemberUp(now, other.name, 1, other.incarnation)
		if joined && !in.stateLoaded {
			in.loadState(c, now, other)
		}
	case !reachable && v.alive:
		v.alive = false
		in.table.MemberDown(now, other.name, v.incarnation, false)
	}
}

// loadState loads the state of the first member that the instance joins.
func (in *instance) loadState(c *Cluster, now int64, other *instance) {
	in.stateLoaded = true
	if times := other.table.Rejoins(in.name); times > 0 {
		in.table.HandleRejoin(now, times)
	}
	in.receive(c, batch{updates: other.newestUpdates(c), sentAt: c.Now})
}

// newestUpdates returns the state that the instance hands to a joining one.
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

// runStep runs one step of the instance.
func (in *instance) runStep(c *Cluster, step int64) {
	switch {
	case !in.up:
	case in.paused:
		in.bufferUnread(c, step)
	default:
		in.tick(c, step)
	}
}

// bufferUnread buffers the updates that arrive while the instance is paused, as a socket does.
func (in *instance) bufferUnread(c *Cluster, step int64) {
	for _, b := range in.inbox[step] {
		kept := batch{updates: slices.Clone(b.updates), sentAt: b.sentAt} // the other receivers share the slice
		for i := range kept.updates {
			kept.updates[i].Age += c.Now - b.sentAt
		}
		in.unread = append(in.unread, kept)
	}
	delete(in.inbox, step)
}

// tick reads the buffered updates, ticks the table, and reads the updates of the current step.
func (in *instance) tick(c *Cluster, step int64) {
	began := time.Now()
	now := in.clock(c)
	for _, b := range in.unread { // the time in the buffer does not count towards their age
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
	in.tableTime += time.Since(began)
}

func (in *instance) receive(c *Cluster, b batch) {
	for _, update := range b.updates {
		update.Age += c.Now - b.sentAt
		in.table.HandleUpdate(in.clock(c), update)
	}
}
