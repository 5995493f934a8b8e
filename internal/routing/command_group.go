package routing

// What a command group's requests usually take, and whether a client's attempt is its first.

const (
	// initialUsualResponse is the share of the latency objective supposed as a response time before any answer was seen.
	initialUsualResponse = 0.25
	// initialUsualSamples is the weight of that initial value, in answers.
	initialUsualSamples = 4.0
	// usualResponseGain is the least weight of one more answer in the usual response time: an average over about 50.
	usualResponseGain = 0.02
	// usualResponseClip is how many times the usual response one answer counts at most: a few huge requests must not
	// hide how long most take.
	usualResponseClip = 10.0
	// longRunningFactor is how many times the shortest usual response of any group makes a group long-running: such a
	// read can keep a replica from applying its log for as long.
	longRunningFactor = 5.0
	// maxUsualTimeLeftVotes caps the votes for the usual time left, so that a changed client timeout is recognised after as
	// many requests.
	maxUsualTimeLeftVotes = 50
)

// commandGroup is one kind of request: its settings and what was learnt of it.
type commandGroup struct {
	CommandGroupConfig
	usualResponse float64 // us, averaged
	answers       float64 // how many of them were seen

	usualTimeLeft      int64 // the time left, us, that most requests arrive with, as clients' first attempts do
	usualTimeLeftVotes int   // how many more had it than had not
}

// needsPrimary reports whether requests of the group go to the primary alone.
func (g *commandGroup) needsPrimary() bool {
	return g.Consistency == Write || g.Consistency == Latest
}

// recordResponse moves the usual response time by one answer.
func (g *commandGroup) recordResponse(took int64) {
	g.answers++
	counted := min(float64(took), usualResponseClip*g.usualResponse)
	g.usualResponse += max(usualResponseGain, 1/(g.answers+initialUsualSamples)) * (counted - g.usualResponse)
}

// noteTimeLeft counts the time that a request leaves, and returns whether the request is its client's first attempt: a later
// one leaves another time than most do. The time that most leave is kept by the majority vote of Boyer and Moore, since
// first attempts may leave less than the whole timeout, and last ones whatever is left of it.
func (r *Router) noteTimeLeft(g *commandGroup, timeLeft int64) bool {
	difference := max(timeLeft-g.usualTimeLeft, g.usualTimeLeft-timeLeft)
	if difference <= 2*r.config.TimeResolution {
		g.usualTimeLeftVotes = min(g.usualTimeLeftVotes+1, maxUsualTimeLeftVotes)
		return true
	}
	if g.usualTimeLeftVotes > 0 {
		g.usualTimeLeftVotes--
		return false
	}
	g.usualTimeLeft = timeLeft
	g.usualTimeLeftVotes = 1
	return true
}

// shortestUsualResponse is that of the group that is answered soonest; 0 without groups.
func (r *Router) shortestUsualResponse() float64 {
	if len(r.groups) == 0 {
		return 0
	}
	shortest := r.groups[0].usualResponse
	for _, g := range r.groups {
		shortest = min(shortest, g.usualResponse)
	}
	return shortest
}

// tightestObjective is the least latency objective of any group.
func (r *Router) tightestObjective() int64 {
	tightest := r.groups[0].LatencyObjective
	for _, g := range r.groups {
		tightest = min(tightest, g.LatencyObjective)
	}
	return tightest
}

// longRunning reports whether the group's requests take many times longer than the shortest.
func (r *Router) longRunning(g *commandGroup) bool {
	return g.usualResponse > longRunningFactor*r.shortestUsualResponse()
}
