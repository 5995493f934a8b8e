package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"cairntiller/internal/metrics"
)

// A change counts as known to the router 6 s after discovery has published it and is reachable, or has stopped sending;
// from then on the router must respect drains. The longest delay until a list is applied is 4.25 s: a watch that
// receives nothing is closed after heartbeatTimeout, the next one receives no response within responseTimeout, and the
// request that starts maxBackoff later is answered at once. A request that started just before discovery became
// reachable and is never answered takes responseTimeout + maxBackoff.
const (
	responseTimeout  = time.Second            // for response headers; discovery's agent is local and answers at once
	heartbeatTimeout = 3 * time.Second        // without a heartbeat; discovery sends an empty line every 2 s
	minBackoff       = 50 * time.Millisecond  // before a watch is restarted
	maxBackoff       = 250 * time.Millisecond // limit of the backoff, which doubles while watches receive no list
	maxListBytes     = 4 << 20                // size of a list with about ten thousand nodes
)

var (
	watchesStarted = metrics.New("watches started")
	listsRejected  = metrics.New("endpoint lists rejected")
)

// Reasons for the end of a watch.
var (
	errCompleteListReceived = errors.New("complete list received") // the next request asks for changes only
	errListTooLong          = errors.New("endpoint list too long")
	errNoHeartbeat          = errors.New("no heartbeat from discovery")
)

// httpStatusError is the HTTP status of a response other than 200 OK.
type httpStatusError string

// Error implements error.
func (e httpStatusError) Error() string { return string(e) }

// UnknownVersion makes a watch request the complete list, for example after a move to another discovery service, whose
// versions are unrelated to those of the old one.
const UnknownVersion = -1

// Follow watches discovery at an address until the context is done; each address received from moves replaces the
// previous one. The old watch ends before the new one starts, so that its lists never arrive after newer ones.
func Follow(ctx context.Context, address string, version int64, moves <-chan string, onList func(*EndpointList)) {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func(address string, version int64) { // parameters, because a move may change the variables before it runs
			Watch(watchCtx, address, version, onList)
			close(ended)
		}(address, version)
		select {
		case address = <-moves:
			version = UnknownVersion
		case <-ctx.Done():
		}
		cancel()
		<-ended
	}
}

// Watch requests the changes since a version from discovery at an address and passes each list to onList, until the
// context is done.
func Watch(ctx context.Context, address string, version int64, onList func(*EndpointList)) {
	w := &watch{address: address, version: version, onList: onList}
	w.client = &http.Client{Transport: &http.Transport{
		DisableKeepAlives:     true,
		ResponseHeaderTimeout: responseTimeout,
		DialContext:           (&net.Dialer{Timeout: responseTimeout}).DialContext,
	}}
	backoff := minBackoff
	for ctx.Err() == nil {
		watchesStarted.Add()
		gotList, err := w.readLists(ctx)
		slog.Debug("watch ended", "err", err, "version", w.version)
		if errors.Is(err, errCompleteListReceived) {
			continue
		}
		if gotList {
			backoff = minBackoff
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// watch is the state of a watch of one address.
type watch struct {
	client  *http.Client
	address string
	version int64 // of the last list applied, or UnknownVersion
	onList  func(*EndpointList)
}

// readLists sends one request and passes on the lists in the response until it ends. gotList reports whether there was
// any list.
func (w *watch) readLists(ctx context.Context) (gotList bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	response, err := w.sendRequest(ctx)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false, httpStatusError(response.Status)
	}
	heartbeatTimer := time.AfterFunc(heartbeatTimeout, func() { cancel(errNoHeartbeat) })
	defer heartbeatTimer.Stop()
	body := &watchedBody{source: response.Body, onHeartbeat: func() { heartbeatTimer.Reset(heartbeatTimeout) }}
	decoder := json.NewDecoder(body)
	for {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return gotList, endReason(ctx, err)
		}
		heartbeatTimer.Reset(heartbeatTimeout)
		body.listEnded()
		list, err := DecodeEndpointList(raw)
		if err != nil {
			listsRejected.Add()
			return gotList, err
		}
		if w.outdated(list, gotList) {
			listsRejected.Add()
			continue
		}
		if ctx.Err() != nil { // canceled or timed out in the meantime
			return gotList, context.Cause(ctx)
		}
		gotList = true
		wasUnknown := w.version == UnknownVersion
		w.version = list.Version
		w.onList(list)
		if wasUnknown {
			return true, errCompleteListReceived
		}
	}
}

// sendRequest asks for the complete list if the version is unknown, otherwise for the changes since the version.
func (w *watch) sendRequest(ctx context.Context) (*http.Response, error) {
	url := "http://" + w.address + "/api/targets"
	if w.version != UnknownVersion {
		url += fmt.Sprintf("?follow=1&since=%d", w.version)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return w.client.Do(request)
}

// endReason returns why a response ended: the watch was canceled or timed out, the connection was closed, or the data
// is invalid, which is counted.
func endReason(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if !errors.Is(err, io.EOF) {
		listsRejected.Add()
	}
	return err
}

// outdated reports whether a list is older than the last one applied. A complete list at the start of a response is
// never outdated: after a restart, discovery counts versions from one again, and if its first list were dropped, none
// of its lists would ever be applied.
func (w *watch) outdated(list *EndpointList, gotList bool) bool {
	return list.Version < w.version && (gotList || !list.Complete)
}
