package engine

import (
	"maps"
	"slices"

	"cairntiller/internal/discovery"
	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/routing"
)

// What a router does for a fleet's releases: nodes that plans drain, and what it has open at each. Off unless Accompany is
// called before Run.

var lateAnswers = metrics.New("answers behind their target")

// company is kept where a fleet's plans may drain nodes.
type company struct {
	entries  map[string]discovery.Endpoint // as the list last had them
	drained  map[string]bool               // by plans
	open     map[string]int                // dispatches that are out, by node
	answered map[string]uint64
	targets  []int64 // by command group, us
}

// Known is one node: what the list and the module have of it, and what this router does there.
type NodeStatus struct {
	Name, Zone   string
	Shard        int
	Primary      bool
	Available    bool  // the list calls it up, and it is not suspected
	Position     int64 // highest proven, us in Unix time
	OpenAttempts int
	Answered     uint64 // since this router started
}

// Accompany keeps what releases need; targets are the command groups' response targets.
func (e *Engine) EnableClusterServices(targets []int64) {
	e.company = &company{entries: map[string]discovery.Endpoint{}, drained: map[string]bool{}, open: map[string]int{}, answered: map[string]uint64{}, targets: targets}
}

// listed notes an entry, and gives the state in which the module hears of it: what a plan drains is draining, whatever
// the list says.
func (c *company) listed(n discovery.Endpoint) routing.State {
	if c == nil {
		return n.State
	}
	if n.State == routing.Removed {
		delete(c.entries, n.Name)
		delete(c.answered, n.Name)
		return n.State
	}
	c.entries[n.Name] = n
	if c.drained[n.Name] && n.State == routing.Up {
		return routing.Draining
	}
	return n.State
}

// Drain takes the whole set of nodes that plans drain; those that changed are told to the module as changes of the list.
// It runs on the engine's goroutine.
func (e *Engine) SetDrained(now int64, names []string) {
	c := e.company
	fresh := map[string]bool{}
	for _, name := range names {
		fresh[name] = true
	}
	was := c.drained
	c.drained = fresh
	l := &discovery.EndpointList{}
	for _, name := range slices.Sorted(maps.Keys(c.entries)) { // the same events give the module the same order
		if was[name] != fresh[name] {
			l.Endpoints = append(l.Endpoints, c.entries[name])
		}
	}
	if len(l.Endpoints) > 0 {
		e.hand(now, l)
	}
}

// dispatched counts a dispatch that begins at a node.
func (c *company) dispatched(node string) {
	if c != nil {
		c.open[node]++
	}
}

// ended counts one that has ended; took is from the command's arrival to its answer.
func (c *company) ended(x *inflight.Request, node string, o routing.Outcome, now int64) {
	if c == nil {
		return
	}
	if c.open[node]--; c.open[node] == 0 { // also behind the node's leave: what is out ends later
		delete(c.open, node)
	}
	if o == routing.Answered {
		c.answered[node]++
		if arrived := x.Deadline - x.Command.Timeout; x.Group < len(c.targets) && now-arrived > c.targets[x.Group] {
			lateAnswers.Add()
		}
	}
}

// Late is how many answers came behind their group's target.
func LateAnswers() uint64 { return uint64(lateAnswers.Count()) }

// Look lists the nodes of the list; it runs on the engine's goroutine.
func (e *Engine) NodeStatuses() (all []NodeStatus) {
	c := e.company
	for name, n := range c.entries {
		role, suspect, pos := e.router.Standing(name)
		primary := role == routing.Primary || role == routing.RoleUnknown && n.Primary // a router that asks a group nothing knows its list alone
		all = append(all, NodeStatus{Name: name, Zone: n.Zone, Shard: n.Shard, Primary: primary, Available: n.State == routing.Up && !suspect, Position: pos,
			OpenAttempts: c.open[name], Answered: c.answered[name]})
	}
	return all
}
