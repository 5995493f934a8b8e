package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cairntiller/internal/routing"
)

const leavingEndpoint = `{"name":"s-1","address":"127.0.0.1:1","zone":"a","type":"m","group":3,"status":"leaving","weight":1.0,` +
	`"since_ms":17.5,"role":"primary","new":{}}`

// TestDecodeEndpointList checks that unknown fields are ignored and that a list with any invalid part is rejected.
func TestDecodeEndpointList(t *testing.T) {
	l, err := DecodeEndpointList([]byte(`{"index":41,"snapshot":true,"endpoints":[` + leavingEndpoint + `],"more":1}`))
	want := Endpoint{"s-1", "127.0.0.1:1", "a", "m", 3, routing.Draining, true, 17_500}
	if err != nil || l.Version != 41 || !l.Complete || len(l.Endpoints) != 1 || l.Endpoints[0] != want {
		t.Errorf("%+v, %v", l, err)
	}
	for _, bad := range []string{"", "{", `{"endpoints":[]}`, `{"index":"1"}`, `[1]`,
		`{"index":1,"endpoints":[` + strings.Replace(leavingEndpoint, "leaving", "asleep", 1) + `]}`,
		`{"index":1,"endpoints":[` + strings.Replace(leavingEndpoint, "s-1", "", 1) + `]}`} {
		if l, err := DecodeEndpointList([]byte(bad)); err == nil {
			t.Errorf("%q was decoded as %+v", bad, l)
		}
	}
}

// TestWatchResumesFromLastVersion checks that after a truncated list, invalid data or an outdated list the next request
// continues from the last version applied.
func TestWatchResumesFromLastVersion(t *testing.T) {
	queries := make(chan string, 9)
	answers := []string{"{\"index\":5,\"snapshot\":true,\"endpoints\":[]}\n\n{\"index\":6,\"endpoints\":[]}\n",
		"{\"index\":7,\"endp", "{\"index\":4,\"endpoints\":[]}\n{\"index\":8,\"endpoints\":[" + leavingEndpoint + "]}\n", "?"}
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		fmt.Fprint(w, answers[min(n, len(answers)-1)])
		n++
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	got := make(chan int64, 9)
	go Watch(ctx, strings.TrimPrefix(srv.URL, "http://"), 3, func(l *EndpointList) { got <- l.Version })
	for _, want := range []int64{5, 6, 8} {
		if i := <-got; i != want {
			t.Errorf("version %d, want %d", i, want)
		}
	}
	for _, want := range []string{"3", "6", "6", "8"} {
		if q := <-queries; q != "follow=1&since="+want {
			t.Errorf("asked %s, want %s", q, want)
		}
	}
}

// TestFollowSwitchesAddress guards against a watch that stays with the old address after a move, or that drops the
// lists of the new discovery service because their versions are lower.
func TestFollowSwitchesAddress(t *testing.T) {
	disconnected, queries := make(chan bool, 9), make(chan string, 9)
	startServer := func(index int) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			queries <- r.URL.RawQuery
			fmt.Fprintf(w, "{\"index\":%d,\"snapshot\":true,\"endpoints\":[]}\n", index)
			if r.URL.RawQuery != "" {
				w.(http.Flusher).Flush()
				<-r.Context().Done()
				disconnected <- true
			}
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	ctx, cancel := context.WithCancel(t.Context())
	moves, got, done := make(chan string), make(chan int64, 9), make(chan bool)
	go func() {
		Follow(ctx, startServer(50), 41, moves, func(l *EndpointList) { got <- l.Version })
		close(done)
	}()
	if i := <-got; i != 50 {
		t.Errorf("version %d", i)
	}
	moves <- startServer(3)
	<-disconnected
	for range 2 { // the complete list, then the first list of the watch
		if i := <-got; i != 3 {
			t.Errorf("version %d after the move", i)
		}
	}
	for _, want := range []string{"follow=1&since=41", "", "follow=1&since=3"} {
		if q := <-queries; q != want {
			t.Errorf("asked %q, want %q", q, want)
		}
	}
	cancel()
	<-done
}
