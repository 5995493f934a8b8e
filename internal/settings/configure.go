package settings

import (
	"slices"
	"strconv"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// Catalog holds the numbers under which the routing module knows command groups and tenants, and what others need to
// know of the groups.
type Catalog struct {
	GroupNumbers, TenantNumbers map[string]int // by name
	LatencyObjectives           []int64        // us, by group number
	LongestClientTimeout        int64          // us, of all groups
}

// Configure hands the routing module its start values. An attempt may go out up to sendDelay us after it was decided;
// the staleness that a read allows at its sending is cut by that. The error is a *FieldError.
func (v Values) Configure(r *routing.Router, sendDelay int64) (Catalog, error) {
	n := Reader{Values: v}
	names := Catalog{GroupNumbers: map[string]int{}, TenantNumbers: map[string]int{}}
	config := routing.Config{
		Zone:           v["az"],
		Routers:        n.Int("siblings"),
		TimeResolution: n.Time("round"),
	}
	levels, bounds := v.List("domain.readLevel"), v.List("domain.oldestData")
	for i := range n.Int("classes.count") {
		at := "classes." + strconv.Itoa(i) + "."
		names.GroupNumbers[v[at+"name"]] = i
		names.LatencyObjectives = append(names.LatencyObjectives, n.Time(at+"aim"))
		names.LongestClientTimeout = max(names.LongestClientTimeout, n.Time(at+"hardLimit"))
		bound := n.time("domain.oldestData", nth(bounds, i))
		config.CommandGroups = append(config.CommandGroups, routing.CommandGroupConfig{
			Idempotency:            effectOf(v[at+"effect"]),
			DeduplicatedEverywhere: v[at+"group"] == "all",
			Consistency:            levelOf(nth(levels, i)),
			MaxStaleness:           max(0, bound-sendDelay),
			IdempotencyWindow:      n.Time(at + "window"),
			LatencyObjective:       n.Time(at + "aim"),
			Timeout:                n.Time(at + "hardLimit"),
			Weight:                 n.Float(at + "points"),
			LateWeight:             n.Float(at + "lateValue"),
		})
	}
	for i := range n.Int("tenants.count") {
		at := "tenants." + strconv.Itoa(i) + "."
		names.TenantNumbers[v[at+"name"]] = i
		config.Tenants = append(config.Tenants, routing.TenantConfig{Quota: n.Float(at + "quotaPerS")})
	}
	config.OverQuotaWeight = n.Float("overShareWorth")
	config.Attempts = routing.AttemptConfig{
		Max:        n.Int("limits.maxAttempts"),
		Cancelable: v.enabled("limits.cancel"),
		Hedging:    v.enabled("limits.secondCopies"),
	}
	config.HealthChecks = routing.HealthCheckConfig{
		Enabled:         v.HealthChecksAllowed(),
		ReportsPosition: v.reports(pgwire.LoadPosition),
		ReportsRole:     v.reports(pgwire.LoadPrimary),
	}
	config.ClientsCarryTokens = v["domain.writeMarks"] == "carried"
	config.SlowStart = routing.SlowStartConfig{
		Duration:         n.Time("rules.cold"),
		InitialCapacity:  n.Float("rules.coldFrom"),
		OverloadMultiple: n.Float("rules.fallMultiple"),
		OverloadWindow:   n.Time("rules.fall"),
	}
	config.UseVanishedNodes = v.enabled("rules.droppedStayOpen")
	config.PollEndpoints = v["registryMode"] == "on_request"
	r.Configure(config)
	return names, n.Err
}

// reports tells whether nodes' load reports hold a figure.
func (v Values) reports(figure string) bool {
	return v["report.how"] != "none" && slices.Contains(v.List("report.fields"), figure)
}

// effectOf reads whether a command may run twice. One of an unknown word may not.
func effectOf(word string) routing.Idempotency {
	switch word {
	case "safe":
		return routing.Idempotent
	case "keyed":
		return routing.IdempotentWithKey
	}
	return routing.NotIdempotent
}

// levelOf reads how new the data of a command must be. One of an unknown word goes to the primary alone.
func levelOf(word string) routing.Consistency {
	switch word {
	case "any":
		return routing.Eventual
	case "bounded":
		return routing.BoundedStaleness
	case "session":
		return routing.ReadYourWrites
	case "fresh":
		return routing.Latest
	}
	return routing.Write
}

func nth(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}
