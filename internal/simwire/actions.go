package simwire

import (
	"strconv"
)

// StartAttempt implements routing.Actions. In the simulator an attempt is sent at once, so its latest start is not
// used.
func (i *instance) StartAttempt(requestID, node string, timeout, _ int64) {
	i.beginAction("transmit")
	i.writeText(requestID)
	i.writeText(node)
	i.writeMillis(timeout)
	i.endAction()
}

// RejectWithRetry implements routing.Actions.
func (i *instance) RejectWithRetry(requestID string, retryAfter int64) {
	i.beginAction("not_now")
	i.writeText(requestID)
	i.writeMillis(retryAfter)
	i.endAction()
}

// Fail implements routing.Actions.
func (i *instance) Fail(requestID string) {
	i.beginAction("report_failure")
	i.writeText(requestID)
	i.endAction()
}

// CancelAttempt implements routing.Actions.
func (i *instance) CancelAttempt(requestID string, attempt int) {
	i.beginAction("withdraw")
	i.writeText(requestID)
	i.writeInt(attempt)
	i.endAction()
}

// SetTimer implements routing.Actions. The routing module has only one kind of timer, so the cookie is always 0.
func (i *instance) SetTimer(delay int64) {
	i.beginAction("timer")
	i.writeMillis(delay)
	i.writeInt(0)
	i.endAction()
}

// CheckHealth implements routing.Actions.
func (i *instance) CheckHealth(node string) {
	i.beginAction("probe")
	i.writeText(node)
	i.endAction()
}

// CloseIdleConnections implements routing.Actions.
func (i *instance) CloseIdleConnections(node string) {
	i.beginAction("drop_conns")
	i.writeText(node)
	i.endAction()
}

// RecheckWaiting implements routing.Actions. It does nothing, because no attempt waits for a connection in the
// simulator.
func (*instance) RecheckWaiting(string) {}

// ForgetNode implements routing.Actions. It does nothing, because the protocol has no such action.
func (*instance) ForgetNode(string) {}

// WatchEndpoints implements routing.Actions.
func (i *instance) WatchEndpoints() {
	i.beginAction("keep_informed")
	i.writeText("1")
	i.endAction()
}

func (i *instance) beginAction(name string) {
	i.server.reply = append(i.server.reply, name...)
	i.writeText(i.name)
}

func (i *instance) endAction() { i.server.reply = append(i.server.reply, '\n') }

func (i *instance) writeText(s string) {
	i.server.reply = append(i.server.reply, ' ')
	i.server.reply = append(i.server.reply, s...)
}

func (i *instance) writeInt(value int) {
	i.server.reply = append(i.server.reply, ' ')
	i.server.reply = strconv.AppendInt(i.server.reply, int64(value), 10)
}

// writeMillis writes a time in us as decimal milliseconds.
func (i *instance) writeMillis(t int64) {
	i.server.reply = append(i.server.reply, ' ')
	if t < 0 {
		i.server.reply = append(i.server.reply, '-')
		t = -t
	}
	i.server.reply = strconv.AppendInt(i.server.reply, t/1000, 10)
	i.server.reply = append(i.server.reply, '.', byte('0'+t/100%10), byte('0'+t/10%10), byte('0'+t%10))
}
