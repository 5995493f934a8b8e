package engine

import (
	"strings"

	"cairntiller/internal/decimal"
	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// Sources of node state: the status sent with a reply, load reports, the outcomes of health checks, and gossip from
// other routers.

var impossibleReports = metrics.New("load reports impossible")

// positionResolution is the resolution, in us, of the positions that nodes report. They are rounded up or down, so a
// valid position may be ahead of the clock by this much.
const positionResolution = 1_000

// primaryThreshold is the smallest value, in millionths, of a load report's primary field that means "primary".
const primaryThreshold = 500_000

// HealthCheckEnded implements inflight.AttemptHandler.
func (e *Engine) HealthCheckEnded(now int64, check inflight.HealthCheck, outcome routing.Outcome, load string) {
	node := check.Node
	if !e.router.InShard(node, check.Shard) {
		load = ""
	}
	position, role := e.applyLoadReport(now, node, load)
	e.router.HealthChecked(now, node, outcome)
	if e.sharedProbes != nil {
		e.sharedProbes.HealthCheckEnded(now, node, outcome, position, role, load)
	}
}

// CheckHealth requests a node's load report; HealthCheckEnded receives the outcome.
func (e *Engine) CheckHealth(node string) {
	e.connections.CheckHealth(inflight.HealthCheck{Node: node, Shard: e.router.ShardOf(node)})
}

// ApplyGossip passes another router's observation of a node to the routing module, without its position if that is
// implausible.
func (e *Engine) ApplyGossip(now int64, update routing.GossipUpdate) {
	if !plausiblePosition(now, update.Position) {
		update.Position = 0
	}
	e.router.GossipReceived(now, update)
}

// DelegateHealthChecks sets whether another router checks a node's health on behalf of this one.
func (e *Engine) DelegateHealthChecks(node string, delegated bool) {
	e.router.SetCheckedByPeer(node, delegated)
}

// applyReplyStatus passes the role, position and load report in a reply to the routing module. A reply may have been cut
// off: each message is used for what it says itself, and nothing follows from a missing one. It returns the position (us
// in Unix time), which the load report doesn't replace; 0 if the reply has none.
func (e *Engine) applyReplyStatus(now int64, node string, reply *pgwire.Reply) (position int64) {
	role := routing.RoleUnknown
	if reply.Primary {
		role = routing.Primary
	} else if reply.Replica {
		role = routing.Replica
	}
	if plausiblePosition(now, reply.Position) {
		position = reply.Position
	}
	e.router.ObserveReply(now, node, role, position)
	e.applyLoadReport(now, node, reply.Load)
	return position
}

// applyLoadReport passes the position and the role in a load report to the routing module. A report with any malformed
// field is discarded as a whole. It returns the position (us in Unix time, 0 if unknown) and the role.
func (e *Engine) applyLoadReport(now int64, node, load string) (position int64, role routing.Role) {
	if load == "" {
		return 0, routing.RoleUnknown
	}
	for pair := range strings.SplitSeq(load, ",") {
		name, value, _ := strings.Cut(pair, "=")
		millionths, err := decimal.Scaled(value, 6)
		if err != nil {
			impossibleReports.Add()
			return 0, routing.RoleUnknown
		}
		switch name {
		case pgwire.LoadPosition: // seconds of Unix time in the wire protocol
			position = millionths
		case pgwire.LoadPrimary:
			role = reportedRole(millionths)
		}
	}
	if !plausiblePosition(now, position) {
		return 0, routing.RoleUnknown
	}
	if position > 0 {
		e.router.ReportedPosition(now, node, position)
	}
	if role != routing.RoleUnknown {
		e.router.ReportedRole(now, node, role == routing.Primary)
	}
	return position, role
}

// reportedRole converts a load report's primary field to a role; a negative value means unknown.
func reportedRole(millionths int64) routing.Role {
	switch {
	case millionths >= primaryThreshold:
		return routing.Primary
	case millionths >= 0:
		return routing.Replica
	}
	return routing.RoleUnknown
}

// plausiblePosition reports whether a position can be valid. Positions are commit times, so none can be later than the
// machines' common clock; a later one would make every replica look too old to read from.
func plausiblePosition(now, position int64) bool {
	if position > now+positionResolution {
		impossibleReports.Add()
		return false
	}
	return true
}
