package rolloutsim

import (
	"fmt"
	"slices"

	"cairntiller/internal/rollout"
)

// node is a database node.
type node struct {
	name, zone   string
	group        int
	primary      bool
	up           bool
	nearLogEnd   bool
	downAt       int64
	keepsPrimary bool // it does not hand over
	handingOver  bool
}

func (w *World) addNode(group, place int) {
	n := &node{
		name:       nodeName(group, place),
		zone:       fmt.Sprint("z", (group+place)%zoneCount),
		group:      group,
		primary:    place == 0,
		up:         true,
		nearLogEnd: true,
	}
	w.nodes = append(w.nodes, n)
	w.nodeByName[n.name] = n
}

// state is the node as a router that knows all of it sees it.
func (n *node) state() rollout.NodeState {
	return rollout.NodeState{Name: n.name, Zone: n.zone, Group: n.group, Primary: n.primary, Up: n.up, CaughtUp: n.nearLogEnd, LoadShare: 1.0 / nodesPerGroup}
}

// handOver lets a replica lead in a primary's place, if one can.
func (w *World) handOver(n *node) {
	n.handingOver = false
	for _, other := range w.nodes {
		if other.group == n.group && other != n && other.up && other.nearLogEnd && n.primary && !w.isDrained(other.name) {
			n.primary = false
			other.primary = true
			w.trace("%s hands over to %s", n.name, other.name)
			return
		}
	}
}

// isDrained reports whether any router that is up sends nothing new to a node.
func (w *World) isDrained(name string) bool {
	return slices.ContainsFunc(w.routers, func(r *router) bool {
		_, drained := r.drainedSince[name]
		return r.up && drained
	})
}
