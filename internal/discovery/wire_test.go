package discovery

import (
	"reflect"
	"testing"

	"cairntiller/internal/routing"
)

// TestDecodeEndpointListWireFormat decodes a list with each status and role, an unknown field and a fraction of a
// millisecond. The expected results were recorded from an earlier implementation, except for the wording of errors.
func TestDecodeEndpointListWireFormat(t *testing.T) {
	got, err := DecodeEndpointList([]byte(`{"index":41,"snapshot":true,"more":[1],"endpoints":[` +
		`{"name":"s-1","address":"10.0.0.1:5432","zone":"a","type":"m","group":3,"status":"active","role":"primary","since_ms":1767225600123.4567},` +
		`{"name":"s-2","address":"10.0.0.2:5432","zone":"b","type":"l","group":3,"status":"leaving","role":"replica","since_ms":0},` +
		`{"name":"s-3","zone":"b","group":-1,"status":"left"},` +
		`{"name":"s-4","address":"[::1]:1","status":"active","role":"other","since_ms":-1.5}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := &EndpointList{Version: 41, Complete: true, Endpoints: []Endpoint{
		{Name: "s-1", Address: "10.0.0.1:5432", Zone: "a", Kind: "m", Shard: 3, State: routing.Up, Primary: true, StartedAt: 1767225600123456},
		{Name: "s-2", Address: "10.0.0.2:5432", Zone: "b", Kind: "l", Shard: 3, State: routing.Draining},
		{Name: "s-3", Zone: "b", Shard: -1, State: routing.Removed},
		{Name: "s-4", Address: "[::1]:1", State: routing.Up, StartedAt: -1500},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	for raw, wantError := range map[string]string{
		`{"snapshot":true}`: "endpoint list without a version",
		`{"index":1,"endpoints":[{"name":"s","address":"x","status":"gone"}]}`: `node "s": unknown status "gone"`,
		`{"index":1,"endpoints":[{"name":"s","status":"active"}]}`:             "endpoint without a name or address",
		`{"index":1,"endpoints":[{"address":"x","status":"active"}]}`:          "endpoint without a name or address",
	} {
		if l, err := DecodeEndpointList([]byte(raw)); l != nil || err == nil || err.Error() != wantError {
			t.Errorf("%s: got %+v, %v; want error %s", raw, l, err, wantError)
		}
	}
}
