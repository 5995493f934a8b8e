package serve

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"net"
	"os"
	"os/signal"
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

// knownListDelay, in us, is how long the router waits for discovery's list before it applies the older list in its
// configuration. Discovery's agent runs on the same machine and answers immediately when it is able to. A node that began
// to drain after the older list was written must not get commands, because the router is expected to know from its start
// what the agent knows.
const knownListDelay = 1_000_000

// ErrNoAddress is returned for a configuration without a listen address or an address of discovery.
var ErrNoAddress = errors.New("no address to listen on, or no address of discovery")

// router is the state of one running router process.
type router struct {
	operatorFile         string         // path; "" for none
	config               platformConfig // the configuration in effect, as last read from the file
	now                  func() int64   // us
	engine               *engine.Engine
	routing              *routing.Router
	frontend             *frontend.Server
	services             *clusterServices
	rollouts             *rolloutRouter
	usableMemory         int64 // bytes
	longestClientTimeout int64 // us

	discoveryAddresses chan string // new addresses of discovery
	listenFailed       chan error
	listApplied        bool // a list from discovery or the configuration was applied; used only on the engine's goroutine
}

// Run runs a router until a signal or a rollout stops it. operatorFile is the path of the operator's file, "" for none.
func Run(operatorFile string, hooks TestHooks) error {
	startedAt := time.Now()
	signals := subscribeSignals() // first, because the default action of these signals ends the process
	loaded, err := loadConfig()
	if err != nil {
		return err
	}
	platform := loaded.platform.withEnvironment()
	if platform.Listen == "" || platform.Discovery == "" {
		return ErrNoAddress
	}
	options, err := readOperatorFile(operatorFile, platform.Name)
	if err != nil {
		return err
	}
	limits := applyLimits(platform)
	r, err := newRouter(platform, loaded.settings, limits, options, startedAt, hooks)
	if err != nil {
		return err
	}
	r.operatorFile = operatorFile
	r.config = loaded.platform
	ln, err := stream.Listen(platform.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.start(ctx, ln, platform.Discovery, loaded.knownList)
	slog.Info("serving", "name", platform.Name, "listen", platform.Listen, "sockets", limits.sockets)
	return r.wait(signals)
}

// newRouter creates the router's components and starts the cluster services.
func newRouter(platform platformConfig, values settings.Values, limits resourceLimits, options operatorOptions, startedAt time.Time,
	hooks TestHooks) (*router, error) {
	now := engine.NewClock()
	e := engine.New(now)
	core := routing.New(parseSeed(platform.Seed), e.Actions())
	reader := settings.Reader{Values: values}
	connectTimeout := reader.Time("limits.connectTimeout")
	idleLimit := reader.Time("limits.connIdle")
	config, catalog, err := values.RoutingConfig(connectTimeout)
	if err = errors.Join(reader.Err, err); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	core.Configure(config)
	pool := backend.New(now, e.Post, e.After, e, backend.Config{
		ConnectTimeout: connectTimeout,
		IdleLimit:      idleLimit,
		MaxConnections: limits.nodeConnections,
	})
	e.Attach(core, pool)
	rollouts := &rolloutRouter{now: now, engine: e, startedAt: startedAt, leave: make(chan struct{}, 1)}
	services, err := startClusterServices(options, platform.Name, localRouter{
		now:                 now,
		engine:              e,
		rollouts:            rollouts,
		latencyObjectives:   catalog.LatencyObjectives,
		healthChecksAllowed: values.HealthChecksAllowed(),
	}, hooks)
	if err != nil {
		return nil, err
	}
	return &router{
		now:     now,
		engine:  e,
		routing: core,
		frontend: frontend.New(now, e, frontend.Config{
			GroupNumbers:   catalog.GroupNumbers,
			TenantNumbers:  catalog.TenantNumbers,
			Cores:          limits.cores,
			MaxConnections: limits.clientConnections,
			MemoryLimit:    limits.usableMemory,
		}),
		services:             services,
		rollouts:             rollouts,
		usableMemory:         limits.usableMemory,
		longestClientTimeout: catalog.LongestClientTimeout,
		discoveryAddresses:   make(chan string, 1),
		listenFailed:         make(chan error, 1),
	}, nil
}

// start starts the engine, the discovery watch and the listener. known is the configuration's endpoint list, nil for none.
func (r *router) start(ctx context.Context, ln *net.TCPListener, discoveryAddress string, known *discovery.EndpointList) {
	r.engine.Post(r.now(), r.routing.Start)
	if known != nil {
		r.engine.After(knownListDelay, func(now int64) {
			if !r.listApplied {
				r.applyList(now, known)
			}
		})
	}
	go r.engine.Run()
	onList := func(list *discovery.EndpointList) {
		r.engine.Post(r.now(), func(now int64) { r.applyList(now, list) })
	}
	go discovery.Follow(ctx, discoveryAddress, discovery.UnknownVersion, r.discoveryAddresses, onList)
	go func() { r.listenFailed <- r.frontend.Serve(ln) }()
	go memoryWatch{limit: r.usableMemory, owners: r.frontend.MemoryOwners}.run(ctx)
}

// applyList applies an endpoint list; the first one makes the router ready. It runs on the engine's goroutine.
func (r *router) applyList(now int64, list *discovery.EndpointList) {
	r.listApplied = true
	r.engine.ApplyEndpointList(now, list)
	r.services.setListVersion(list.Version)
	r.frontend.SetReady()
	r.rollouts.recordReady()
}

// wait handles signals until the router has shut down.
func (r *router) wait(signals signals) error {
	for {
		select {
		case err := <-r.listenFailed:
			return fmt.Errorf("accepting client connections: %w", err)
		case sig := <-signals.requests:
			if sig == syscall.SIGUSR1 {
				metrics.Print(os.Stderr)
			} else {
				r.reload()
			}
		case <-signals.stops:
			r.shutdown()
			return nil
		case <-r.rollouts.leave:
			r.shutdown()
			return nil
		}
	}
}

// reload reads the platform's configuration and the operator's file again.
func (r *router) reload() {
	effective, newDiscovery := reloadConfig(r.config)
	r.config = effective
	if newDiscovery != "" {
		r.discoveryAddresses <- newDiscovery
	}
	r.services.reload(r.operatorFile)
}

// signals are the channels on which the process's signals arrive.
type signals struct {
	stops    chan os.Signal // SIGTERM and SIGINT
	requests chan os.Signal // SIGHUP and SIGUSR1
}

func subscribeSignals() signals {
	s := signals{stops: make(chan os.Signal, 1), requests: make(chan os.Signal, 8)}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.requests, syscall.SIGHUP, syscall.SIGUSR1)
	return s
}

// parseSeed parses the platform's seed as a hexadecimal number; any other text is hashed.
func parseSeed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	return uint64(crc32.ChecksumIEEE([]byte(text)))
}
