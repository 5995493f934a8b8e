package discovery

import (
	"bytes"
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

// What discovery tells counts as told 6 s after it fell silent, or had a change and could be reached. The longest way
// to a list in hand: a watch that falls silent is given up lifeWait later, its successor meets silence too for
// answerWait, and the call that begins backMost later is answered at once: 4.25 s. A call that began just before
// discovery could be reached, and is never answered, costs answerWait + backMost.
const (
	answerWait = time.Second            // for discovery to begin an answer: its agent is on this machine and does so at once
	lifeWait   = 3 * time.Second        // of a watch without a sign of life: empty lines come every 2 s
	backFirst  = 50 * time.Millisecond  // before a watch that ended is started anew
	backMost   = 250 * time.Millisecond // the same, doubled while watches bring nothing
	mostList   = 4 << 20                // bytes in one list: some ten thousand nodes
)

var (
	watches = metrics.New("watches started")
	broken  = metrics.New("lists refused")
)

// Unknown is no version: the whole list is asked for. Another discovery may count its versions anew.
const UnknownVersion = -1

// Follow watches discovery at an address, and from a move on at another, until the context ends. A watch that
// was left is over before the next begins, so its lists never come after newer ones.
func Follow(ctx context.Context, address string, index int64, moves <-chan string, on func(*EndpointList)) {
	for ctx.Err() == nil {
		life, end := context.WithCancel(ctx)
		over := make(chan struct{})
		go func(address string, index int64) { // a move may come before it runs
			Watch(life, address, index, on)
			close(over)
		}(address, index)
		select {
		case address = <-moves:
			index = UnknownVersion
		case <-ctx.Done():
		}
		end()
		<-over
	}
}

// Watch keeps asking discovery at an address for what comes after a version and hands each list on, until
// the context ends.
func Watch(ctx context.Context, address string, index int64, on func(*EndpointList)) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: answerWait,
		DialContext: (&net.Dialer{Timeout: answerWait}).DialContext}}
	back := backFirst
	for ctx.Err() == nil {
		watches.Add()
		query := ""
		if index != UnknownVersion {
			query = fmt.Sprintf("?follow=1&since=%d", index)
		}
		brought, err := ask(ctx, client, address, query, &index, on)
		slog.Debug("watch ended", "err", err, "index", index)
		if errors.Is(err, errWhole) {
			continue
		}
		if brought {
			back = backFirst
		}
		select {
		case <-time.After(back):
		case <-ctx.Done():
		}
		back = min(2*back, backMost)
	}
}

var (
	errWhole = errors.New("the whole list came") // and can be followed
	errLong  = errors.New("a list is too long")
	errMute  = errors.New("the watch fell silent")
)

// ask hands on the lists in one answer of discovery's; brought tells that there was one.
func ask(ctx context.Context, client *http.Client, address, query string, index *int64, on func(*EndpointList)) (brought bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/targets"+query, nil)
	if err != nil {
		return false, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return false, errors.New(answer.Status)
	}
	life := time.AfterFunc(lifeWait, func() { cancel(errMute) })
	defer life.Stop()
	body := &alive{from: answer.Body, sign: func() { life.Reset(lifeWait) }}
	for lists := json.NewDecoder(body); ; {
		var raw json.RawMessage
		if err := lists.Decode(&raw); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			} else if !errors.Is(err, io.EOF) {
				broken.Add()
			}
			return brought, err
		}
		life.Reset(lifeWait)
		body.between()
		l, err := DecodeEndpointList(raw)
		if err != nil {
			broken.Add()
			return brought, err
		}
		// A discovery that started anew counts from one again, and what it says first is whole: that stands, or no list
		// would be taken ever after. An older list that is not whole, or comes behind a newer one, is no news.
		if l.Version < *index && (brought || !l.Complete) {
			broken.Add()
			continue
		}
		if ctx.Err() != nil { // it was left meanwhile
			return brought, context.Cause(ctx)
		}
		brought = true
		first := *index == UnknownVersion
		*index = l.Version
		on(l)
		if first {
			return true, errWhole
		}
	}
}

// alive passes on a watch's bytes, and tells of its signs of life: all that comes between lists, empty lines among it,
// and the beginning of a list. What comes within one is none: a list that does not get whole must not hold the watch
// open. It bounds a list's bytes.
type alive struct {
	from io.Reader
	sign func()
	in   int // bytes since the last list was whole and something but white space came
}

// between tells that a list is whole.
func (a *alive) between() { a.in = 0 }

func (a *alive) Read(p []byte) (int, error) {
	n, err := a.from.Read(p)
	if a.in == 0 {
		a.sign()
	}
	if a.in > 0 || len(bytes.TrimSpace(p[:n])) > 0 {
		if a.in += n; a.in > mostList {
			return 0, errLong
		}
	}
	return n, err
}
