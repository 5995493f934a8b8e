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

// RoutingConfig reads the routing module's start values. An attempt may go out up to sendDelay us after it was decided;
// the staleness that a read allows at its sending is cut by that. The error is a *FieldError.
func (v Values) RoutingConfig(sendDelay int64) (routing.Config, Catalog, error) {
	n := &Reader{Values: v}
	config := routing.Config{
		Zone:               v["az"],
		Routers:            n.Int("siblings"),
		TimeResolution:     n.Time("round"),
		CommandGroups:      v.commandGroups(n, sendDelay),
		Tenants:            v.tenants(n),
		OverQuotaWeight:    n.Float("overShareWorth"),
		ClientsCarryTokens: v["domain.writeMarks"] == "carried",
		UseRemovedNodes:    v.enabled("rules.droppedStayOpen"),
		PollEndpoints:      v["registryMode"] == "on_request",
	}
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
	config.SlowStart = routing.SlowStartConfig{
		Duration:         n.Time("rules.cold"),
		InitialCapacity:  n.Float("rules.coldFrom"),
		OverloadMultiple: n.Float("rules.fallMultiple"),
		OverloadWindow:   n.Time("rules.fall"),
	}
	return config, v.catalog(config), n.Err
}

func (v Values) commandGroups(n *Reader, sendDelay int64) (groups []routing.CommandGroupConfig) {
	levels := v.List("domain.readLevel")
	bounds := v.List("domain.oldestData")
	for i := range n.Int("classes.count") {
		path := groupPath(i)
		groups = append(groups, routing.CommandGroupConfig{
			Idempotency:            idempotencyOf(v[path+"effect"]),
			DeduplicatedEverywhere: v[path+"group"] == "all",
			Consistency:            consistencyOf(nth(levels, i)),
			LatencyObjective:       n.Time(path + "aim"),
			Timeout:                n.Time(path + "hardLimit"),
			MaxStaleness:           max(0, n.time("domain.oldestData", nth(bounds, i))-sendDelay),
			IdempotencyWindow:      n.Time(path + "window"),
			Weight:                 n.Float(path + "points"),
			LateWeight:             n.Float(path + "lateValue"),
		})
	}
	return groups
}

func (v Values) tenants(n *Reader) (tenants []routing.TenantConfig) {
	for i := range n.Int("tenants.count") {
		tenants = append(tenants, routing.TenantConfig{Quota: n.Float(tenantPath(i) + "quotaPerS")})
	}
	return tenants
}

// catalog names the groups and tenants of a configuration.
func (v Values) catalog(config routing.Config) Catalog {
	c := Catalog{GroupNumbers: map[string]int{}, TenantNumbers: map[string]int{}}
	for i, group := range config.CommandGroups {
		c.GroupNumbers[v[groupPath(i)+"name"]] = i
		c.LatencyObjectives = append(c.LatencyObjectives, group.LatencyObjective)
		c.LongestClientTimeout = max(c.LongestClientTimeout, group.Timeout)
	}
	for i := range config.Tenants {
		c.TenantNumbers[v[tenantPath(i)+"name"]] = i
	}
	return c
}

func groupPath(i int) string  { return "classes." + strconv.Itoa(i) + "." }
func tenantPath(i int) string { return "tenants." + strconv.Itoa(i) + "." }

// reports reports whether nodes' load reports hold a figure.
func (v Values) reports(figure string) bool {
	return v["report.how"] != "none" && slices.Contains(v.List("report.fields"), figure)
}

// idempotencyOf reads whether a command may run twice. One of an unknown word may not.
func idempotencyOf(word string) routing.Idempotency {
	switch word {
	case "safe":
		return routing.Idempotent
	case "keyed":
		return routing.IdempotentWithKey
	}
	return routing.NotIdempotent
}

// consistencyOf reads how new the data of a command must be. One of an unknown word goes to the primary alone.
func consistencyOf(word string) routing.Consistency {
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

// nth is an entry of a list, "" past its end.
func nth(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}
