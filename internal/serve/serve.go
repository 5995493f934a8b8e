// Package serve holds one running router: what the platform and the operator's file tell it, its parts, and how it
// starts, reads its configuration again and leaves.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"cairntiller/internal/backend"
	"cairntiller/internal/discovery"
	"cairntiller/internal/engine"
	"cairntiller/internal/frontend"
	"cairntiller/internal/metrics"
	"cairntiller/internal/routing"
	"cairntiller/internal/settings"
	"cairntiller/internal/stream"
)

const (
	memoryShare  = 0.7                    // of the memory limit at which the collector works harder
	spareSockets = 32                     // descriptors for the listener, the poller, discovery and the runtime
	clientShare  = 0.6                    // of the other descriptors for clients: a command in hand takes one at each side
	moveAway     = 500 * time.Millisecond // after SIGTERM in which clients may still come: the front moves away in 0.4 s
	lastWait     = 300 * time.Millisecond // for clients to read their last answers
	killFrom     = 3 * time.Second        // a client timeout longer than this doesn't move the platform's SIGKILL
	killAfter    = 700 * time.Millisecond // after SIGTERM and the longest client timeout, at the earliest
	killMargin   = 250 * time.Millisecond // before it at which what is still owed is answered: for the answers to leave
	partWait     = 2 * time.Second        // for the others to be told, where that takes longer than the last answers
	knownWait    = 1_000_000              // us for discovery's own list before an older one from the file is used: its agent
	// answers at once where it can, and what that has counts as told from our first moment on
)

var (
	reloads  = metrics.New("configurations read anew")
	rejected = metrics.New("configurations rejected")
	keyed    = metrics.New("keys changed")
)

// told is what the platform tells a router.
type told struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// read takes the configuration whole or not at all.
func read() (t told, known *discovery.EndpointList, values settings.Values, err error) {
	path := os.Getenv("RELAY_CONFIG")
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &t)
	}
	if err != nil {
		return t, nil, nil, fmt.Errorf("RELAY_CONFIG %q: %w", path, err)
	}
	if values, err = settings.FromJSON(t.Settings); err != nil {
		return t, nil, nil, fmt.Errorf("settings: %w", err)
	}
	if len(t.Known) > 0 && string(t.Known) != "null" {
		if known, err = discovery.DecodeEndpointList(t.Known); err != nil {
			return t, nil, nil, fmt.Errorf("known: %w", err)
		}
	}
	return t, known, values, nil
}

// reload reads the configuration again and returns it as it holds from now on, with the address of discovery
// where that is another than the file named before. All else takes a new start, which the log says.
func reload(held told) (now told, moved string) {
	fresh, _, _, err := read()
	if err == nil {
		_, _, err = net.SplitHostPort(fresh.Discovery)
	}
	if err != nil {
		rejected.Add()
		slog.Error("configuration rejected; the old one holds", "err", err)
		return held, ""
	}
	reloads.Add()
	if fresh.Discovery != held.Discovery {
		moved = fresh.Discovery
	}
	slog.Info("configuration read anew", "discovery", fresh.Discovery, "moved", moved != "")
	held.Discovery, held.Known = fresh.Discovery, fresh.Known
	if !reflect.DeepEqual(held, fresh) {
		slog.Warn("what changed beside the address of discovery takes a new start")
	}
	return held, moved
}

// Run runs a router until a stop, with the operator's file, "" for none.
func Run(path string, in TestHooks) error {
	began := time.Now()
	// Before all else: a signal that nobody waits for would end the process.
	stops, calls := make(chan os.Signal, 1), make(chan os.Signal, 8)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(calls, syscall.SIGHUP, syscall.SIGUSR1)
	held, known, values, err := read()
	if err != nil {
		return err
	}
	t := held // the environment stands over the file, until the file changes
	for name, at := range map[string]*string{"RELAY_NAME": &t.Name, "RELAY_LISTEN": &t.Listen,
		"RELAY_DISCOVERY": &t.Discovery} {
		if v := os.Getenv(name); v != "" {
			*at = v
		}
	}
	if t.Listen == "" || t.Discovery == "" {
		return errors.New("no address to listen on, or none of discovery")
	}
	with, err := readParts(path, t.Name)
	if err != nil {
		return err
	}
	if t.Limits.Cores > 0 { // and one for the poller, which sits in the kernel most of the time
		runtime.GOMAXPROCS(int(math.Ceil(t.Limits.Cores)) + 1)
	}
	if t.Limits.MemoryMB <= 0 {
		t.Limits.MemoryMB = 192
	}
	memory := int64(t.Limits.MemoryMB * (1 << 20))
	debug.SetMemoryLimit(int64(float64(memory) * memoryShare))
	sockets := t.Limits.Sockets
	if sockets <= 0 {
		sockets = 1024
	}
	forClients := int(float64(sockets-spareSockets) * clientShare)

	if err := stream.ConfigureLibrary(slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn).Writer()); err != nil {
		return err
	}
	now := engine.NewClock()
	e := engine.New(now)
	r := routing.New(seed(t.Seed), e.Actions())
	limits := settings.Reader{Values: values}
	connect, idle := limits.Time("limits.connectTimeout"), limits.Time("limits.connIdle")
	names, err := values.Configure(r, connect)
	if err = errors.Join(limits.Err, err); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	pool := backend.New(now, e.Post, e.After, e, connect, idle, sockets-spareSockets-forClients)
	e.Attach(r, pool)
	me := &self{now: now, e: e, began: began, leave: make(chan struct{}, 1)}
	others, err := join(with, t.Name, now, e, me, names.LatencyObjectives, values.HealthChecksAllowed(), in)
	if err != nil {
		return err
	}
	front := frontend.New(now, e, names.GroupNumbers, names.TenantNumbers, forClients, memory)

	ln, err := net.Listen("tcp", t.Listen)
	if err != nil {
		return err
	}
	listened := false // to discovery, this process; engine's goroutine
	take := func(now int64, l *discovery.EndpointList) {
		listened = true
		e.ApplyEndpointList(now, l)
		others.listed(l.Version)
		front.SetReady()
		me.opened()
	}
	listed := func(l *discovery.EndpointList) { e.Post(now(), func(now int64) { take(now, l) }) }
	e.Post(now(), r.Start)
	if known != nil {
		e.After(knownWait, func(now int64) {
			if !listened {
				take(now, known)
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run()
	moves := make(chan string, 1)
	go discovery.Follow(ctx, t.Discovery, discovery.UnknownVersion, moves, listed)
	served := make(chan error, 1)
	go func() { served <- front.Serve(ln) }()
	slog.Info("serving", "name", t.Name, "listen", t.Listen, "sockets", sockets)

	for {
		select {
		case err := <-served:
			return fmt.Errorf("no longer listening: %w", err)
		case s := <-calls:
			if s == syscall.SIGUSR1 {
				metrics.Print(os.Stderr)
				continue
			}
			var moved string
			if held, moved = reload(held); moved != "" {
				moves <- moved
			}
			others.reload(path)
		case <-stops:
			return stop(e, front, me, others, names.LongestClientTimeout)
		case <-me.leave:
			return stop(e, front, me, others, names.LongestClientTimeout)
		}
	}
}

// stop leaves in order: the others take over while it answers what it owes. longest is the longest client timeout, us.
func stop(e *engine.Engine, front *frontend.Server, me *self, others *company, longest int64) error {
	last := time.Now().Add(min(time.Duration(longest)*time.Microsecond, killFrom) + killAfter - killMargin)
	me.leaving.Store(true)
	slog.Info("leaving", "owed", e.Unanswered())
	gone := make(chan struct{})
	go func() {
		others.leave()
		close(gone)
	}()
	leave(e, front, gone, last)
	metrics.Print(os.Stderr)
	return nil
}

// leave goes on taking what still arrives while the front moves away, then ends each connection between
// commands, and returns when nothing is owed and the others know. What nodes keep to themselves until last is given up
// then, before the platform kills. It serves to its end: who comes meanwhile must not wait at an engine that has stopped.
func leave(e *engine.Engine, front *frontend.Server, gone <-chan struct{}, last time.Time) {
	time.Sleep(min(moveAway, time.Until(last)))
	front.BeginDrain()
	select {
	case <-gone:
	case <-time.After(min(partWait, time.Until(last))):
	}
	alarm := time.NewTimer(time.Until(last))
	for end := false; !end && e.Unanswered() > 0; {
		select {
		case <-e.AllAnswered():
		case <-alarm.C:
			end = time.Since(last) >= killMargin/2
			e.GiveUpAll()
			alarm.Reset(killMargin / 2)
		}
	}
	front.WaitClosed(lastWait, last.Add(killMargin/2))
	e.Stop()
	slog.Info("left")
}

// seed makes a number of the platform's word, whatever it looks like.
func seed(word string) uint64 {
	if n, err := strconv.ParseUint(word, 16, 64); err == nil {
		return n
	}
	return uint64(crc32.ChecksumIEEE([]byte(word)))
}
