package rolloutsim

import (
	"fmt"
	"slices"

	"cairntiller/internal/rollout"
)

// node is a simulated database node.
type node struct {
	name, zone        string
	group             int
	primary           bool
	up                bool
	caughtUp          bool
	downAt            int64
	refusesSwitchover bool // it does not switch over
	switchingOver     bool
}

func (w *World) addNode(group, indexInGroup int) {
	n := &node{
		name:     nodeName(group, indexInGroup),
		zone:     fmt.Sprint("z", (group+indexInGroup)%zoneCount),
		group:    group,
		primary:  indexInGroup == 0,
		up:       true,
		caughtUp: true,
	}
	w.nodes = append(w.nodes, n)
	w.nodeByName[n.name] = n
}

// state returns the actual state of the node as routers report it.
func (n *node) state() rollout.NodeState {
	return rollout.NodeState{Name: n.name, Zone: n.zone, Group: n.group, Primary: n.primary, Up: n.up, CaughtUp: n.caughtUp, LoadShare: 1.0 / nodesPerGroup}
}

// switchOver makes a replica the primary of the group, if one is eligible.
func (w *World) switchOver(n *node) {
	n.switchingOver = false
	for _, other := range w.nodes {
		if other.group == n.group && other != n && other.up && other.caughtUp && n.primary && !w.isDrained(other.name) {
			n.primary = false
			other.primary = true
			w.trace("%s switches over to %s", n.name, other.name)
			return
		}
	}
}

// isDrained reports whether any running router drains a node.
func (w *World) isDrained(name string) bool {
	return slices.ContainsFunc(w.routers, func(r *router) bool {
		_, drained := r.drainedSince[name]
		return r.up && drained
	})
}
