package simwire

import (
	"bytes"
	"encoding/hex"
	"strconv"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// eventHandler hands one event to an instance's routing module. It reads the fields by n, which keeps the first fault;
// what the module is told waits until all fields of the event are read.
type eventHandler func(i *instance, now int64, fields [][]byte, n *fieldReader) error

// events are the events by name; minFields is the least number of their fields, the name included.
var events = map[string]struct {
	minFields int
	handle    eventHandler // nil for those that the server handles itself
}{
	"open_instance": {3, nil},
	"detach":        {2, nil},
	"peers_known":   {5, (*instance).endpointList},
	"req":           {11, (*instance).request},
	"started":       {6, (*instance).attemptStarted},
	"result":        {9, (*instance).attemptEnded},
	"gone":          {3, (*instance).clientGone},
	"elapsed":       {3, (*instance).timer},
	"checked":       {5, (*instance).healthCheckEnded},
	"note_from":     {4, (*instance).note},
}

// The fields of a req event, by their place on the line; here and below 0 is the event's name and 1 the instance.
const (
	requestID          = 2
	requestGroup       = 3 // name of its command group
	requestTenant      = 4 // name; one that is not known has no quota
	requestSession     = 5
	requestTimeLeft    = 6  // until the client gives up
	requestShard       = 8  // 7 is a cost, which is not used
	requestSinceCommit = 9  // time since the session's last commit
	requestMark        = 10 // must be a number, and is not used
)

// request hands a new request to the module.
func (i *instance) request(now int64, fields [][]byte, n *fieldReader) error {
	group, known := i.groupNumbers[string(fields[requestGroup])]
	if !known {
		return i.server.fault("grade", "unknown class")
	}
	tenant, known := i.tenantNumbers[string(fields[requestTenant])]
	if !known {
		tenant = -1
	}
	left := n.time(fields[requestTimeLeft], "timeLeft")
	shard := n.int(fields[requestShard], "clusterNo")
	sinceCommit := n.time(fields[requestSinceCommit], "sinceWriteMs")
	n.int(fields[requestMark], "marks")
	if n.err == nil {
		i.router.RequestArrived(now, routing.Request{
			ID:         string(fields[requestID]),
			Group:      group,
			Tenant:     tenant,
			Session:    text(fields[requestSession]),
			TimeLeft:   left,
			Shard:      int(shard),
			SinceWrite: sinceCommit,
		})
	}
	return nil
}

// attemptStarted ignores the event: the module does not use when a node began an attempt.
func (*instance) attemptStarted(int64, [][]byte, *fieldReader) error { return nil }

// The fields of a result event.
const (
	resultRequest    = 2
	resultNode       = 3
	resultFinal      = 4 // whether the client has had its answer
	resultOutcome    = 5
	resultAttempt    = 6 // number of the attempt
	resultElapsed    = 7
	resultNodeStatus = 8 // the node's position and role in one number
	resultLoadReport = 9 // if the node sent one
)

// attemptEnded hands the end of an attempt to the module, and what its node told of itself.
func (i *instance) attemptEnded(now int64, fields [][]byte, n *fieldReader) error {
	request, node := string(fields[resultRequest]), string(fields[resultNode])
	result := outcome(n.int(fields[resultOutcome], "result"))
	number := n.int(fields[resultAttempt], "hop")
	elapsed := n.time(fields[resultElapsed], "delaySeen")
	status := n.int(fields[resultNodeStatus], "stand")
	final := n.int(fields[resultFinal], "final") != 0
	if n.err != nil {
		return nil
	}
	role, position := i.nodeStatus(status)
	i.router.ObserveReply(now, node, role, position)
	if len(fields) > resultLoadReport {
		i.loadReport(now, node, fields[resultLoadReport], n)
	}
	if n.err == nil {
		i.router.AttemptEnded(now, routing.AttemptResult{
			RequestID:   request,
			Attempt:     int(number),
			Outcome:     result,
			Took:        elapsed,
			RequestDone: final,
		})
	}
	return nil
}

// nodeStatus takes apart four times the position, in ms, plus the role: 1 for primary, 2 for replica. 0 stands for a
// position that is not told.
func (i *instance) nodeStatus(status int64) (role routing.Role, position int64) {
	switch status & 3 {
	case 1:
		role = routing.Primary
	case 2:
		role = routing.Replica
	}
	if millis := status >> 2; millis > 0 {
		position = millis*1000 + i.positionZero
	}
	return role, position
}

// The fields of a checked event.
const (
	checkedNode       = 2
	checkedElapsed    = 3 // must be a time, and is not used
	checkedOutcome    = 4
	checkedLoadReport = 5 // if the node sent one
)

// healthCheckEnded hands the end of a health check to the module.
func (i *instance) healthCheckEnded(now int64, fields [][]byte, n *fieldReader) error {
	node := string(fields[checkedNode])
	n.time(fields[checkedElapsed], "delaySeen")
	result := outcome(n.int(fields[checkedOutcome], "result"))
	if len(fields) > checkedLoadReport && n.err == nil {
		i.loadReport(now, node, fields[checkedLoadReport], n)
	}
	if n.err == nil {
		i.router.HealthChecked(now, node, result)
	}
	return nil
}

// loadReport passes on the figures of a node's load report, name:value parted by commas. Those before one that can't be
// read are passed on.
func (i *instance) loadReport(now int64, node string, pairs []byte, n *fieldReader) {
	for len(pairs) > 0 && string(pairs) != "-" {
		pair, rest, _ := bytes.Cut(pairs, []byte(","))
		pairs = rest
		name, value, found := bytes.Cut(pair, []byte(":"))
		if !found {
			n.fail("healthInfo", "not a pair")
			return
		}
		switch string(name) {
		case pgwire.LoadPosition:
			position := n.seconds(value, pgwire.LoadPosition)
			if n.err == nil {
				i.router.ReportedPosition(now, node, position+i.positionZero)
			}
		case pgwire.LoadPrimary:
			primary := n.float(value, pgwire.LoadPrimary)
			if n.err == nil {
				i.router.ReportedRole(now, node, primary >= 0.5)
			}
		}
	}
}

// clientGone hands on that the client of a request, field 2, has gone.
func (i *instance) clientGone(now int64, fields [][]byte, _ *fieldReader) error {
	i.router.ClientGone(now, string(fields[2]))
	return nil
}

// timer hands on that a timer has elapsed. Its cookie, field 2, is always 0, for the module has one kind of timer.
func (i *instance) timer(now int64, fields [][]byte, _ *fieldReader) error {
	if _, err := strconv.ParseUint(string(fields[2]), 10, 64); err != nil {
		return i.server.fault("cookie", "no number")
	}
	i.router.TimerFired(now)
	return nil
}

// note drops a note of another router, sender and bytes in fields 2 and 3: routers send none.
func (i *instance) note(_ int64, fields [][]byte, n *fieldReader) error {
	if _, err := hex.DecodeString(text(fields[3])); err != nil {
		return i.server.fault("bytes", "no hex digits")
	}
	n.int(fields[2], "from")
	return nil
}

// outcomes are the routing module's, by their number on the wire.
var outcomes = [...]routing.Outcome{routing.Errored, routing.Answered, routing.Rejected, routing.TimedOut, routing.ConnectFailed,
	routing.ConnectionLost, routing.Canceled, routing.NotSent, routing.NotPrimary}

// outcome reads an outcome's number. An unknown one says nothing of never having run.
func outcome(number int64) routing.Outcome {
	if number < 0 || number >= int64(len(outcomes)) {
		return routing.Errored
	}
	return outcomes[number]
}
