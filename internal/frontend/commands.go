package frontend

import (
	"errors"
	"log/slog"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
)

// handleQuery submits a command, or answers it with an error of the router's own.
func (c *session) handleQuery(at int64, statement []byte) {
	if !c.server.ready.Load() {
		c.sendError(pgwire.CodeNotReady, "the router is starting up")
		return
	}
	if pgwire.IsEmptyQuery(statement) {
		emptyQueries.Add()
		c.queue(pgwire.AppendEmpty(nil))
		return
	}
	request, err := c.newRequest(at, statement)
	if err != nil {
		rejectedQueries.Add()
		slog.Debug("query rejected", "err", err)
		c.sendError(codeOf(err), err.Error())
		return
	}
	switch c.admit(at, request) {
	case admitted:
		c.server.intake.Submit(at, request)
	case sessionClosing:
		readsAfterClose.Add()
	case serverDraining:
		commandsWhileDraining.Add()
		c.sendError(pgwire.CodeNotReady, "the router is leaving; nothing was done")
	case overLimits:
		commandsOverLimits.Add()
		c.sendError(pgwire.CodeRejected, "too many commands in hand")
	}
}

// newRequest reads a query; the error is a *pgwire.FieldError.
func (c *session) newRequest(at int64, statement []byte) (*inflight.Request, error) {
	command, err := pgwire.DecodeCommand(statement)
	if err != nil {
		return nil, err
	}
	group, known := c.server.groupNumbers[command.Group]
	if !known {
		return nil, &pgwire.FieldError{Code: pgwire.CodeValue, Field: "c", Why: "unknown"}
	}
	tenant := -1
	if command.Tenant != "" {
		if tenant, known = c.server.tenantNumbers[command.Tenant]; !known {
			return nil, &pgwire.FieldError{Code: pgwire.CodeValue, Field: "t", Why: "unknown"}
		}
	}
	return inflight.NewRequest(command, c, group, tenant, at), nil
}

func codeOf(err error) string {
	var field *pgwire.FieldError
	if errors.As(err, &field) {
		return field.Code
	}
	return pgwire.CodeValue
}

// admission is whether a command is taken.
type admission int

const (
	admitted admission = iota
	sessionClosing
	serverDraining
	overLimits
)

// admit decides whether a request is taken, and if so queues a place for its answer.
//
// Two guards stand here. A session may have been closed for another one while its command was being read: the answer
// could no longer be delivered, so the command must not run; closing is set under the same lock. And while the router
// drains, only the first command of a session is taken: a client that kept sending commands would otherwise keep the
// router from ever ending.
func (c *session) admit(at int64, request *inflight.Request) admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return sessionClosing
	}
	if c.server.draining.Load() && c.currentPhase() != phaseNew {
		return serverDraining
	}
	if len(c.answers) >= maxPipelined || c.server.inFlightBytes.Load() >= c.server.limits.inFlightBytes {
		return overLimits
	}
	c.enter(phaseBusy)
	c.server.inFlightBytes.Add(int64(request.Command.Size()))
	c.answers = append(c.answers, &answer{request: request, arrivedAt: at})
	return admitted
}
