package settings

import (
	"slices"
	"strconv"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// Catalog maps the names of command groups and tenants to their indexes in routing.Config, and holds the properties of
// the groups that other packages use.
type Catalog struct {
	GroupNumbers, TenantNumbers map[string]int // by name
	LatencyObjectives           []int64        // us, by group index
	LongestClientTimeout        int64          // us, over all groups
}

// RoutingConfig returns the configuration of the routing module. An attempt may be sent up to sendDelay us after the
// decision to start it. The error is a *FieldError.
func (v Values) RoutingConfig(sendDelay int64) (routing.Config, Catalog, error) {
	r := &Reader{Values: v}
	config := routing.Config{
		Zone:               v["az"],
		Routers:            r.Int("siblings"),
		TimeResolution:     r.Time("round"),
		CommandGroups:      v.commandGroups(r),
		SendDelay:          sendDelay,
		Tenants:            v.tenants(r),
		OverQuotaWeight:    r.Float("overShareWorth"),
		ClientsCarryTokens: v["domain.writeMarks"] == "carried",
		UseRemovedNodes:    v.enabled("rules.droppedStayOpen"),
		PollEndpoints:      v["registryMode"] == "on_request",
	}
	config.Attempts = routing.AttemptConfig{
		Max:        r.Int("limits.maxAttempts"),
		Cancelable: v.enabled("limits.cancel"),
		Hedging:    v.enabled("limits.secondCopies"),
	}
	config.HealthChecks = routing.HealthCheckConfig{
		Enabled:         v.HealthChecksAllowed(),
		ReportsPosition: v.reports(pgwire.LoadPosition),
		ReportsRole:     v.reports(pgwire.LoadPrimary),
	}
	config.SlowStart = routing.SlowStartConfig{
		Duration:         r.Time("rules.cold"),
		InitialCapacity:  r.Float("rules.coldFrom"),
		OverloadMultiple: r.Float("rules.fallMultiple"),
		OverloadWindow:   r.Time("rules.fall"),
	}
	return config, v.catalog(config), r.Err
}

func (v Values) commandGroups(r *Reader) (groups []routing.CommandGroupConfig) {
	levels := v.List("domain.readLevel")
	bounds := v.List("domain.oldestData")
	for i := range r.Int("classes.count") {
		path := groupPath(i)
		groups = append(groups, routing.CommandGroupConfig{
			Idempotency:            parseIdempotency(v[path+"effect"]),
			DeduplicatedEverywhere: v[path+"group"] == "all",
			Consistency:            parseConsistency(elementAt(levels, i)),
			LatencyObjective:       r.Time(path + "aim"),
			Timeout:                r.Time(path + "hardLimit"),
			MaxStaleness:           max(0, r.time("domain.oldestData", elementAt(bounds, i))),
			IdempotencyWindow:      r.Time(path + "window"),
			Weight:                 r.Float(path + "points"),
			LateWeight:             r.Float(path + "lateValue"),
		})
	}
	return groups
}

func (v Values) tenants(r *Reader) (tenants []routing.TenantConfig) {
	for i := range r.Int("tenants.count") {
		tenants = append(tenants, routing.TenantConfig{Quota: r.Float(tenantPath(i) + "quotaPerS")})
	}
	return tenants
}

// catalog returns the catalog of a configuration's groups and tenants.
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

// reports reports whether the nodes' load reports contain a field.
func (v Values) reports(figure string) bool {
	return v["report.how"] != "none" && slices.Contains(v.List("report.fields"), figure)
}

// parseIdempotency parses a group's idempotency. An unknown value is read as not idempotent, the safe choice.
func parseIdempotency(value string) routing.Idempotency {
	switch value {
	case "safe":
		return routing.Idempotent
	case "keyed":
		return routing.IdempotentWithKey
	}
	return routing.NotIdempotent
}

// parseConsistency parses a group's required consistency. An unknown value is read as a write, which only the primary
// serves.
func parseConsistency(value string) routing.Consistency {
	switch value {
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

// elementAt returns the element of list at index i, or "" past its end.
func elementAt(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}
