package routing

// Statistics of a command group: its average response time, and the time left that distinguishes a client's first
// attempt from later ones.

const (
	// initialResponseTimeShare is the share of the latency objective that is assumed as the average response time
	// before the first answer.
	initialResponseTimeShare = 0.25
	// initialResponseTimeWeight is the weight of that initial value, in answers.
	initialResponseTimeWeight = 4.0
	// minResponseTimeGain is the minimum weight of an answer in the average response time: a moving average over about
	// 50 answers.
	minResponseTimeGain = 0.02
	// responseTimeClip caps a single answer at this multiple of the average response time, so that a few very large
	// requests don't distort the average.
	responseTimeClip = 10.0
	// longRunningFactor is the multiple of the shortest average response time of any group above which a group counts
	// as long-running: one of its reads can keep a replica from applying its log for that long.
	longRunningFactor = 5.0
	// maxTimeLeftVotes caps the votes for majorityTimeLeft, so that a changed client timeout is recognized after that
	// many requests.
	maxTimeLeftVotes = 50
)

// commandGroup holds the settings and statistics of a command group.
type commandGroup struct {
	CommandGroupConfig
	avgResponseTime float64 // moving average, in microseconds
	answers         float64 // number of answers in the average

	majorityTimeLeft      int64 // most frequent time left of new requests, in microseconds
	majorityTimeLeftVotes int   // votes for it minus votes against it
}

// needsPrimary reports whether requests of the group go only to the primary.
func (g *commandGroup) needsPrimary() bool {
	return g.Consistency == Write || g.Consistency == Latest
}

// recordResponse updates the average response time with one answer.
func (g *commandGroup) recordResponse(took int64) {
	g.answers++
	clipped := min(float64(took), responseTimeClip*g.avgResponseTime)
	g.avgResponseTime += max(minResponseTimeGain, 1/(g.answers+initialResponseTimeWeight)) * (clipped - g.avgResponseTime)
}

// recordTimeLeft records the time left of a new request and reports whether the request is its client's first attempt;
// later attempts arrive with a different time left than most requests. The most frequent value is tracked with the
// Boyer-Moore majority vote, because first attempts may arrive with less than the whole timeout, and last attempts with
// whatever remains of it.
func (r *Router) recordTimeLeft(g *commandGroup, timeLeft int64) bool {
	difference := max(timeLeft-g.majorityTimeLeft, g.majorityTimeLeft-timeLeft)
	if difference <= 2*r.config.TimeResolution {
		g.majorityTimeLeftVotes = min(g.majorityTimeLeftVotes+1, maxTimeLeftVotes)
		return true
	}
	if g.majorityTimeLeftVotes > 0 {
		g.majorityTimeLeftVotes--
		return false
	}
	g.majorityTimeLeft = timeLeft
	g.majorityTimeLeftVotes = 1
	return true
}

// shortestAvgResponseTime returns the lowest average response time of any group; 0 without groups.
func (r *Router) shortestAvgResponseTime() float64 {
	if len(r.groups) == 0 {
		return 0
	}
	shortest := r.groups[0].avgResponseTime
	for _, g := range r.groups {
		shortest = min(shortest, g.avgResponseTime)
	}
	return shortest
}

// tightestObjective returns the lowest latency objective of any group.
func (r *Router) tightestObjective() int64 {
	tightest := r.groups[0].LatencyObjective
	for _, g := range r.groups {
		tightest = min(tightest, g.LatencyObjective)
	}
	return tightest
}

// longRunning reports whether the group's average response time is more than longRunningFactor times the shortest one.
func (r *Router) longRunning(g *commandGroup) bool {
	return g.avgResponseTime > longRunningFactor*r.shortestAvgResponseTime()
}
