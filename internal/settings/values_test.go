package settings

import (
	"errors"
	"maps"
	"testing"

	"cairntiller/internal/routing"
)

func TestNestedValuesBecomePaths(t *testing.T) {
	got, err := FromJSON([]byte(`{"az":"a","limits":{"cancel":true,"connIdle":15000.5},"tenants":[{"name":"x y",
		"quotaPerS":9e1}],"domain":{"readLevel":["any","write"]},"none":null,"empty":[]}`))
	want := Values{"az": "a", "limits.cancel": "true", "limits.connIdle": "15000.5", "tenants.count": "1",
		"tenants.0.name": "x y", "tenants.0.quotaPerS": "90", "domain.readLevel": "any,write",
		"domain.readLevel.count": "2", "none": "", "empty.count": "0"}
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "[]", "7", `{"a":`} {
		if _, err := FromJSON([]byte(bad)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

func TestUnreadableValueIsNamed(t *testing.T) {
	v := Values{"classes.count": "1", "classes.0.aim": "soon"}
	_, err := v.Configure(routing.New(1, nil), 0)
	var field *FieldError
	if !errors.As(err, &field) || field.Field != "classes.0.aim" {
		t.Error(err)
	}
}
