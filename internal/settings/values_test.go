package settings

import (
	"errors"
	"maps"
	"reflect"
	"testing"

	"cairntiller/internal/routing"
)

// TestFromJSONFlattensNestedValues checks the paths and texts of objects, lists, numbers with an exponent and nulls,
// and that input other than an object is rejected.
func TestFromJSONFlattensNestedValues(t *testing.T) {
	got, err := FromJSON([]byte(`{"az":"a","limits":{"cancel":true,"connIdle":15000.5},"tenants":[{"name":"x y",
		"quotaPerS":9e1}],"domain":{"readLevel":["any","write"]},"none":null,"empty":[]}`))
	want := Values{"az": "a", "limits.cancel": "true", "limits.connIdle": "15000.5", "tenants.count": "1",
		"tenants.0.name": "x y", "tenants.0.quotaPerS": "90", "domain.readLevel": "any,write",
		"domain.readLevel.count": "2", "none": "", "empty.count": "0"}
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("FromJSON returned %v, %v", got, err)
	}
	for _, bad := range []string{"", "[]", "7", `{"a":`} {
		if _, err := FromJSON([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// TestRoutingConfigErrorNamesSetting checks that the error names the setting that can't be parsed.
func TestRoutingConfigErrorNamesSetting(t *testing.T) {
	v := Values{"classes.count": "1", "classes.0.aim": "soon"}
	_, _, err := v.RoutingConfig(0)
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Field != "classes.0.aim" {
		t.Error(err)
	}
}

// TestRoutingConfigOfEverySetting reads a file with a nonzero value for every setting of the routing module, and a send
// delay. The expected configuration was checked against the output of an earlier implementation for the same file.
func TestRoutingConfigOfEverySetting(t *testing.T) {
	values, err := FromJSON([]byte(`{"az":"a","siblings":3,"round":5.25,"overShareWorth":0.25,"registryMode":"on_request",
	"classes":[{"name":"look","effect":"safe","group":"all","window":50,"aim":100,"hardLimit":400,"points":2,"lateValue":0.5},
	{"name":"set","effect":"keyed","group":"primary","window":60.5,"aim":110,"hardLimit":700,"points":1,"lateValue":0},
	{"name":"put","effect":"unsafe","aim":120,"hardLimit":600,"points":1.5,"lateValue":0.25}],
	"tenants":[{"name":"acme","quotaPerS":9e1},{"name":"other","quotaPerS":1.5}],
	"domain":{"readLevel":["bounded","session","write"],"oldestData":[250,"-","-"],"writeMarks":"carried"},
	"limits":{"maxAttempts":3,"cancel":true,"secondCopies":1,"probes":true},
	"report":{"how":"both","fields":["x0","x1"]},
	"rules":{"cold":2000,"coldFrom":0.2,"fallMultiple":4,"fall":3000,"droppedStayOpen":true}}`))
	if err != nil {
		t.Fatal(err)
	}
	config, catalog, err := values.RoutingConfig(50_000)
	if err != nil {
		t.Fatal(err)
	}
	wantConfig := routing.Config{
		Zone: "a", Routers: 3, TimeResolution: 5250, OverQuotaWeight: 0.25, SendDelay: 50_000,
		CommandGroups: []routing.CommandGroupConfig{
			{Idempotency: routing.Idempotent, DeduplicatedEverywhere: true, Consistency: routing.BoundedStaleness, MaxStaleness: 250_000,
				IdempotencyWindow: 50_000, LatencyObjective: 100_000, Timeout: 400_000, Weight: 2, LateWeight: 0.5},
			{Idempotency: routing.IdempotentWithKey, Consistency: routing.ReadYourWrites,
				IdempotencyWindow: 60_500, LatencyObjective: 110_000, Timeout: 700_000, Weight: 1},
			{Idempotency: routing.NotIdempotent, Consistency: routing.Write, LatencyObjective: 120_000, Timeout: 600_000, Weight: 1.5,
				LateWeight: 0.25},
		},
		Tenants:            []routing.TenantConfig{{Quota: 90}, {Quota: 1.5}},
		Attempts:           routing.AttemptConfig{Max: 3, Cancelable: true, Hedging: true},
		HealthChecks:       routing.HealthCheckConfig{Enabled: true, ReportsPosition: true, ReportsRole: true},
		SlowStart:          routing.SlowStartConfig{Duration: 2_000_000, InitialCapacity: 0.2, OverloadMultiple: 4, OverloadWindow: 3_000_000},
		ClientsCarryTokens: true, UseRemovedNodes: true, PollEndpoints: true,
	}
	if !reflect.DeepEqual(config, wantConfig) {
		t.Errorf("got  %+v\nwant %+v", config, wantConfig)
	}
	wantCatalog := Catalog{GroupNumbers: map[string]int{"look": 0, "set": 1, "put": 2}, TenantNumbers: map[string]int{"acme": 0, "other": 1},
		LatencyObjectives: []int64{100_000, 110_000, 120_000}, LongestClientTimeout: 700_000}
	if !reflect.DeepEqual(catalog, wantCatalog) {
		t.Errorf("got  %+v\nwant %+v", catalog, wantCatalog)
	}
}
