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

// Watch keeps asking discovery at an address for what comes after a version and hands each list on, until
// the context ends.
func Watch(ctx context.Context, address string, index int64, on func(*List)) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: answerWait,
		DialContext: (&net.Dialer{Timeout: answerWait}).DialContext}}
	back := backFirst
	for ctx.Err() == nil {
		watches.Add()
		began := time.Now()
		err := follow(ctx, client, address, &index, on)
		slog.Debug("watch ended", "err", err, "index", index)
		if time.Since(began) > lifeWait { // it lived
			back = backFirst
		}
		select {
		case <-time.After(back):
		case <-ctx.Done():
		}
		back = min(2*back, backMost)
	}
}

func follow(ctx context.Context, client *http.Client, address string, index *int64, on func(*List)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := fmt.Sprintf("http://%s/api/targets?follow=1&since=%d", address, *index)
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(ask)
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
		*index = l.Index
		on(l)
	}
	return cmp.Or(lines.Err(), io.EOF)
}
