package simwire

import (
	"bytes"
	"encoding/hex"
	"strconv"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// eventHandler passes one event to an instance's routing module. It parses the fields with a fieldReader, which keeps
// the first error, and calls the module only after all fields that the call needs are parsed.
type eventHandler func(i *instance, now int64, fields [][]byte, r *fieldReader) error

// events maps the names of events to their handlers. minFields is the minimum number of fields, including the name.
var events = map[string]struct {
	minFields int
	handle    eventHandler // nil for events that the server handles itself
}{
	"open_instance": {3, nil},
	"detach":        {2, nil},
	"peers_known":   {5, (*instance).endpointList},
	"req":           {11, (*instance).requestArrived},
	"started":       {6, (*instance).attemptStarted},
	"result":        {9, (*instance).attemptEnded},
	"gone":          {3, (*instance).clientGone},
	"elapsed":       {3, (*instance).timerFired},
	"checked":       {5, (*instance).healthCheckEnded},
	"note_from":     {4, (*instance).dropNote},
}

// Fields of a req event, by their index on the line. In all events, field 0 is the event's name and field 1 the
// instance.
const (
	requestID          = 2
	requestGroup       = 3 // name of its command group
	requestTenant      = 4 // name of its tenant; an unknown tenant has no quota
	requestSession     = 5
	requestTimeLeft    = 6  // until the client gives up
	requestShard       = 8  // field 7 is a cost, which is not used
	requestSinceCommit = 9  // time since the session's last commit
	requestMarks       = 10 // must be an integer; its value is not used
)

// requestArrived passes a new request to the routing module.
func (i *instance) requestArrived(now int64, fields [][]byte, r *fieldReader) error {
	group, known := i.groupNumbers[string(fields[requestGroup])]
	if !known {
		return i.server.inputError("grade", "unknown class")
	}
	tenant, known := i.tenantNumbers[string(fields[requestTenant])]
	if !known {
		tenant = -1
	}
	left := r.time(fields[requestTimeLeft], "timeLeft")
	shard := r.int(fields[requestShard], "clusterNo")
	sinceCommit := r.time(fields[requestSinceCommit], "sinceWriteMs")
	r.int(fields[requestMarks], "marks")
	if r.err == nil {
		i.router.RequestArrived(now, routing.Request{
			ID:         string(fields[requestID]),
			Group:      group,
			Tenant:     tenant,
			Session:    optionalText(fields[requestSession]),
			TimeLeft:   left,
			Shard:      int(shard),
			SinceWrite: sinceCommit,
		})
	}
	return nil
}

// attemptStarted ignores the event, because the routing module does not use the time at which a node began an attempt.
func (*instance) attemptStarted(int64, [][]byte, *fieldReader) error { return nil }

// Fields of a result event.
const (
	resultRequest    = 2
	resultNode       = 3
	resultFinal      = 4 // whether the client has received its answer
	resultOutcome    = 5
	resultAttempt    = 6 // number of the attempt
	resultElapsed    = 7
	resultNodeStatus = 8 // the node's position and role encoded in one number, see decodeNodeStatus
	resultLoadReport = 9 // optional
)

// attemptEnded passes the result of an attempt and the reported status of its node to the routing module.
func (i *instance) attemptEnded(now int64, fields [][]byte, r *fieldReader) error {
	request, node := string(fields[resultRequest]), string(fields[resultNode])
	result := outcomeByNumber(r.int(fields[resultOutcome], "result"))
	number := r.int(fields[resultAttempt], "hop")
	elapsed := r.time(fields[resultElapsed], "delaySeen")
	status := r.int(fields[resultNodeStatus], "stand")
	final := r.int(fields[resultFinal], "final") != 0
	if r.err != nil {
		return nil
	}
	role, position := i.decodeNodeStatus(status)
	i.router.ObserveReply(now, node, role, position)
	if len(fields) > resultLoadReport {
		i.loadReport(now, node, fields[resultLoadReport], r)
	}
	if r.err == nil {
		i.router.AttemptEnded(now, routing.AttemptResult{
			RequestID:   request,
			Attempt:     int(number),
			Outcome:     result,
			Took:        elapsed,
			Position:    position,
			RequestDone: final,
		})
	}
	return nil
}

// decodeNodeStatus decodes a node's status: the position in ms, shifted left by two bits, plus the role, which is 1 for
// a primary and 2 for a replica. A position of 0 means that it is unknown.
func (i *instance) decodeNodeStatus(status int64) (role routing.Role, position int64) {
	switch status & 3 {
	case 1:
		role = routing.Primary
	case 2:
		role = routing.Replica
	}
	if millis := status >> 2; millis > 0 {
		position = millis*1000 + i.positionEpoch
	}
	return role, position
}

// Fields of a checked event.
const (
	checkedNode       = 2
	checkedElapsed    = 3 // must be a time; its value is not used
	checkedOutcome    = 4
	checkedLoadReport = 5 // optional
)

// healthCheckEnded passes the result of a health check to the routing module.
func (i *instance) healthCheckEnded(now int64, fields [][]byte, r *fieldReader) error {
	node := string(fields[checkedNode])
	r.time(fields[checkedElapsed], "delaySeen")
	result := outcomeByNumber(r.int(fields[checkedOutcome], "result"))
	if len(fields) > checkedLoadReport && r.err == nil {
		i.loadReport(now, node, fields[checkedLoadReport], r)
	}
	if r.err == nil {
		i.router.HealthChecked(now, node, result)
	}
	return nil
}

// loadReport passes the fields of a node's load report, comma-separated name:value pairs, to the routing module. Pairs
// before one that can't be parsed are still passed on.
func (i *instance) loadReport(now int64, node string, pairs []byte, r *fieldReader) {
	for len(pairs) > 0 && string(pairs) != "-" {
		pair, rest, _ := bytes.Cut(pairs, []byte(","))
		pairs = rest
		name, value, found := bytes.Cut(pair, []byte(":"))
		if !found {
			r.fail("healthInfo", "not a name:value pair")
			return
		}
		switch string(name) {
		case pgwire.LoadPosition:
			position := r.seconds(value, pgwire.LoadPosition)
			if r.err == nil {
				i.router.ReportedPosition(now, node, position+i.positionEpoch)
			}
		case pgwire.LoadPrimary:
			primary := r.float(value, pgwire.LoadPrimary)
			if r.err == nil {
				i.router.ReportedRole(now, node, primary >= 0.5)
			}
		}
	}
}

// clientGone tells the routing module that the client of a request has disconnected. Field 2 is the request's id.
func (i *instance) clientGone(now int64, fields [][]byte, _ *fieldReader) error {
	i.router.ClientGone(now, string(fields[2]))
	return nil
}

// timerFired tells the routing module that a timer has fired. The cookie in field 2 must be a number but is not used,
// because the module has only one kind of timer.
func (i *instance) timerFired(now int64, fields [][]byte, _ *fieldReader) error {
	if _, err := strconv.ParseUint(string(fields[2]), 10, 64); err != nil {
		return i.server.inputError("cookie", "not a number")
	}
	i.router.TimerFired(now)
	return nil
}

// dropNote validates and drops a note of another router, because routers send none. Field 2 is the sender, field 3 the
// bytes.
func (i *instance) dropNote(_ int64, fields [][]byte, r *fieldReader) error {
	if _, err := hex.DecodeString(optionalText(fields[3])); err != nil {
		return i.server.inputError("bytes", "not hexadecimal")
	}
	r.int(fields[2], "from")
	return nil
}

// outcomes holds the outcomes of attempts by their number in the protocol.
var outcomes = [...]routing.Outcome{routing.Errored, routing.Answered, routing.Rejected, routing.TimedOut, routing.ConnectFailed,
	routing.ConnectionLost, routing.Canceled, routing.NotSent, routing.NotPrimary}

// outcomeByNumber returns the outcome with a number. An unknown number is read as Errored, because the attempt may have
// run.
func outcomeByNumber(number int64) routing.Outcome {
	if number < 0 || number >= int64(len(outcomes)) {
		return routing.Errored
	}
	return outcomes[number]
}
