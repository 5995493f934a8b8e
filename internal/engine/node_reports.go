package engine

import (
	"strings"

	"cairntiller/internal/decimal"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// What is learnt of a node: its status beside an answer, its load report, the outcome of a health check, and gossip of
// other routers.

var impossibleReports = metrics.New("load reports impossible")

// positionResolution is the step in us in which nodes report positions, rounded either way: a position may lie so far
// past the clock and be true.
const positionResolution = 1_000

// reportedPrimary is the least value of a load report's primary figure, in millionths, that says "primary".
const reportedPrimary = 500_000

// HealthCheckEnded implements inflight.ResultHandler.
func (e *Engine) HealthCheckEnded(now int64, node string, outcome routing.Outcome, load string) {
	position, role := e.applyLoadReport(now, node, load)
	e.router.HealthChecked(now, node, outcome)
	if e.sharedProbes != nil {
		e.sharedProbes.HealthCheckEnded(now, node, outcome, position, role, load)
	}
}

// CheckHealth asks a node for its load report; the outcome comes to HealthCheckEnded.
func (e *Engine) CheckHealth(node string) { e.connections.CheckHealth(node) }

// ApplyGossip hands the routing module what another router learnt of a node. A position that can't be true is left out.
func (e *Engine) ApplyGossip(now int64, update routing.GossipUpdate) {
	if !plausiblePosition(now, update.Position) {
		update.Position = 0
	}
	e.router.GossipReceived(now, update)
}

// DelegateHealthChecks tells the routing module whether another router checks a node's health.
func (e *Engine) DelegateHealthChecks(node string, delegated bool) {
	e.router.SetCheckedByPeer(node, delegated)
}

// applyReplyStatus passes on what a node told of itself beside an answer.
func (e *Engine) applyReplyStatus(now int64, node string, reply *pgwire.Reply) {
	role := routing.RoleUnknown
	if reply.Primary {
		role = routing.Primary
	} else if reply.Replica {
		role = routing.Replica
	}
	if !plausiblePosition(now, reply.Position) {
		reply.Position = 0
	}
	e.router.ObserveReply(now, node, role, reply.Position)
	e.applyLoadReport(now, node, reply.Load)
}

// applyLoadReport passes on the figures of a node's load report, all or none: where one can't be read the report is
// worth nothing. It returns the position (us in Unix time, 0 where unknown) and the role that the report tells.
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
		case pgwire.LoadPosition: // seconds of Unix time on sockets
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

// reportedRole reads a load report's primary figure; one below zero says nothing.
func reportedRole(millionths int64) routing.Role {
	switch {
	case millionths >= reportedPrimary:
		return routing.Primary
	case millionths >= 0:
		return routing.Replica
	}
	return routing.RoleUnknown
}

// plausiblePosition reports whether a position can be true: positions are times of commits, so none is later than the
// clock that all machines read. One that is would make every replica look too old for a read.
func plausiblePosition(now, position int64) bool {
	if position > now+positionResolution {
		impossibleReports.Add()
		return false
	}
	return true
}
