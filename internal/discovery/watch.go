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

// A change counts as known to the router 6 s after discovery had it and could be reached, or fell silent: from then on a
// drain binds the router. The longest way to a list applied: a watch that falls silent is given up signTimeout later,
// its successor meets silence too for answerTimeout, and the call that begins maxBackoff later is answered at once:
// 4.25 s. A call that began just before discovery could be reached, and is never answered, costs answerTimeout +
// maxBackoff.
const (
	answerTimeout = time.Second            // for discovery to begin an answer: its agent is on this machine and does so at once
	signTimeout   = 3 * time.Second        // of a watch without a sign of life: empty lines come every 2 s
	minBackoff    = 50 * time.Millisecond  // before a watch that ended is started anew
	maxBackoff    = 250 * time.Millisecond // the same, doubled while watches bring nothing
	maxListBytes  = 4 << 20                // in one list: some ten thousand nodes
)

var (
	startedWatches = metrics.New("watches started")
	rejectedLists  = metrics.New("endpoint lists rejected")
)

// Why a watch ended.
var (
	errListComplete = errors.New("the complete list came") // and can be followed
	errListTooLong  = errors.New("a list is too long")
	errSilent       = errors.New("the watch fell silent")
)

// statusError is the HTTP status of an answer that is no list.
type statusError string

// Error implements error.
func (e statusError) Error() string { return string(e) }

// UnknownVersion is no version: the complete list is asked for. Another discovery may count its versions anew.
const UnknownVersion = -1

// Follow watches discovery at an address until the context ends; each address received from moves replaces it. The old
// watch has ended before the new one begins, so its lists never arrive after newer ones.
func Follow(ctx context.Context, address string, version int64, moves <-chan string, onList func(*EndpointList)) {
	for ctx.Err() == nil {
		watchCtx, leave := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func(address string, version int64) { // a move may come before it runs
			Watch(watchCtx, address, version, onList)
			close(ended)
		}(address, version)
		select {
		case address = <-moves:
			version = UnknownVersion
		case <-ctx.Done():
		}
		leave()
		<-ended
	}
}

// Watch keeps asking discovery at an address for what comes after a version and hands each list on, until the context
// ends.
func Watch(ctx context.Context, address string, version int64, onList func(*EndpointList)) {
	w := &watch{address: address, version: version, onList: onList}
	w.client = &http.Client{Transport: &http.Transport{
		DisableKeepAlives:     true,
		ResponseHeaderTimeout: answerTimeout,
		DialContext:           (&net.Dialer{Timeout: answerTimeout}).DialContext,
	}}
	backoff := minBackoff
	for ctx.Err() == nil {
		startedWatches.Add()
		gotList, err := w.ask(ctx)
		slog.Debug("watch ended", "err", err, "version", w.version)
		if errors.Is(err, errListComplete) {
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

// watch is one address that is watched.
type watch struct {
	client  *http.Client
	address string
	version int64 // of the last list taken, or UnknownVersion
	onList  func(*EndpointList)
}

// ask makes one call, and hands on the lists in its answer until that ends. gotList reports whether there was one.
func (w *watch) ask(ctx context.Context) (gotList bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answer, err := w.call(ctx)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return false, statusError(answer.Status)
	}
	silence := time.AfterFunc(signTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	body := &watchedBody{from: answer.Body, onSign: func() { silence.Reset(signTimeout) }}
	lists := json.NewDecoder(body)
	for {
		var raw json.RawMessage
		if err := lists.Decode(&raw); err != nil {
			return gotList, endOf(ctx, err)
		}
		silence.Reset(signTimeout)
		body.listEnded()
		list, err := DecodeEndpointList(raw)
		if err != nil {
			rejectedLists.Add()
			return gotList, err
		}
		if w.outdated(list, gotList) {
			rejectedLists.Add()
			continue
		}
		if ctx.Err() != nil { // it was left meanwhile
			return gotList, context.Cause(ctx)
		}
		gotList = true
		wasUnknown := w.version == UnknownVersion
		w.version = list.Version
		w.onList(list)
		if wasUnknown {
			return true, errListComplete
		}
	}
}

// call asks for the complete list if none is known, else for the changes after the version that is.
func (w *watch) call(ctx context.Context) (*http.Response, error) {
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

// endOf returns why an answer ended: the watch was left or fell silent, or what arrived can't be read.
func endOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if !errors.Is(err, io.EOF) {
		rejectedLists.Add()
	}
	return err
}

// outdated reports whether a list is older than the last one applied. A complete list at the start of a call is never
// outdated: a discovery that has restarted counts its versions from one again, and if its first list were dropped, none of
// its lists would ever be applied.
func (w *watch) outdated(list *EndpointList, gotList bool) bool {
	return list.Version < w.version && (gotList || !list.Complete)
}
