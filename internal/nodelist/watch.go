package nodelist

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"cairntiller/internal/counters"
)

const (
	answerWait = 2 * time.Second         // for discovery to begin an answer: its empty lines come as often
	lifeWait   = 5 * time.Second         // of a watch without a line: two empty ones missed
	backFirst  = 100 * time.Millisecond  // before a watch that ended is started anew
	backMost   = 1600 * time.Millisecond // the same, doubled while watches do not last
	mostLine   = 4 << 20                 // bytes in one list: some ten thousand nodes
)

var (
	watches = counters.New("watches started")
	broken  = counters.New("lists refused")
)

// unknown is no version: the whole list is asked for. Another discovery may count its versions anew.
const unknown = -1

// Follow watches discovery at an address, and from a move on at another, until the context ends. A watch that
// was left is over before the next begins, so its lists never come after newer ones.
func Follow(ctx context.Context, address string, index int64, moves <-chan string, on func(*List)) {
	for ctx.Err() == nil {
		life, end := context.WithCancel(ctx)
		over := make(chan struct{})
		go func(address string, index int64) { // a move may come before it runs
			Watch(life, address, index, on)
			close(over)
		}(address, index)
		select {
		case address = <-moves:
			index = unknown
		case <-ctx.Done():
		}
		end()
		<-over
	}
}

// Watch keeps asking discovery at an address for what comes after a version and hands each list on, until
// the context ends.
func Watch(ctx context.Context, address string, index int64, on func(*List)) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: answerWait,
		DialContext: (&net.Dialer{Timeout: answerWait}).DialContext}}
	back := backFirst
	for ctx.Err() == nil {
		watches.Add()
		began := time.Now()
		var err error
		if index == unknown {
			err = ask(ctx, client, address, "", &index, on)
		} else {
			err = ask(ctx, client, address, fmt.Sprintf("?follow=1&since=%d", index), &index, on)
		}
		slog.Debug("watch ended", "err", err, "index", index)
		if time.Since(began) > lifeWait { // it lived
			back = backFirst
		}
		if errors.Is(err, errWhole) {
			continue
		}
		select {
		case <-time.After(back):
		case <-ctx.Done():
		}
		back = min(2*back, backMost)
	}
}

// errWhole tells that the whole list has come, and can be followed.
var errWhole = errors.New("the whole list came")

// ask hands on the lists in one answer of discovery's.
func ask(ctx context.Context, client *http.Client, address, query string, index *int64, on func(*List)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/targets"+query, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.New(answer.Status)
	}
	life := time.AfterFunc(lifeWait, cancel)
	defer life.Stop()
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		life.Reset(lifeWait)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		l, err := Decode(line)
		if err != nil {
			broken.Add()
			return err
		}
		if l.Index < *index { // an older version than is held
			broken.Add()
			continue
		}
		if ctx.Err() != nil { // it was left meanwhile
			return ctx.Err()
		}
		first := *index == unknown
		*index = l.Index
		on(l)
		if first {
			return errWhole
		}
	}
	return cmp.Or(lines.Err(), io.EOF)
}
