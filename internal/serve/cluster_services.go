package serve

import (
	"fmt"
	"log/slog"
	"reflect"
	"sync/atomic"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/engine"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/membership"
	"cairntiller/internal/rolloutservice"
	"cairntiller/internal/sharedprobes"
	"cairntiller/internal/versionaudit"
)

// TestHooks replaces the network and the clock in tests and proofs. Each field may be nil.
type TestHooks struct {
	WrapTransport membership.WrapTransport    // wraps the network transport between routers
	LeaseClock    func() int64                // clock of the lease service
	OnLeases      func(*leaseservice.Service) // called with the router's lease service once it runs
}

// clusterServices holds the services that a router shares with other routers, and the admin socket for operators on its
// machine. Each service is nil unless the operator's file enables it.
type clusterServices struct {
	name         string // the router's name
	options      operatorOptions
	membership   *membership.Service
	sharedProbes *sharedprobes.Service
	leases       *leaseservice.Service
	audit        *versionaudit.Auditor
	admin        *adminsocket.Server
	rollouts     atomic.Pointer[rolloutservice.Service] // atomic: messages may arrive before it has started
}

// localRouter is what the cluster services need of the router in this process.
type localRouter struct {
	now                 func() int64 // us
	engine              *engine.Engine
	rollouts            *rolloutRouter
	latencyObjectives   []int64 // us, by command group
	healthChecksAllowed bool
}

// startClusterServices starts the services that the operator's file enables. It must be called before the engine runs.
func startClusterServices(options operatorOptions, name string, local localRouter, hooks TestHooks) (*clusterServices, error) {
	s := &clusterServices{name: name, options: options}
	if err := s.start(local, hooks); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *clusterServices) start(local localRouter, hooks TestHooks) (err error) {
	options := s.options
	if options.adminSocket.Enabled {
		if s.admin, err = adminsocket.Listen(options.adminSocket); err != nil {
			return err
		}
	}
	if options.sharedProbes.Enabled && !local.healthChecksAllowed {
		slog.Warn("health checks are not shared: the settings do not allow health checks")
		options.sharedProbes.Enabled = false
	}
	if !options.sharedProbes.Enabled && !options.leases.Given {
		return nil
	}
	if options.sharedProbes.Enabled {
		s.sharedProbes = sharedprobes.New(local.engine)
	}
	joined := make(chan struct{}) // closed once s.membership is set; nothing is sent before
	if options.leases.Given {
		s.createLeases(options, joined, hooks)
	}
	if s.membership, err = membership.Start(options.membership, s.membershipEvents(local), hooks.WrapTransport); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	close(joined)
	if s.sharedProbes != nil {
		s.sharedProbes.Join(local.now(), s.membership, options.membership, options.sharedProbes)
		local.engine.SetSharedProbes(s.sharedProbes)
	}
	if s.leases != nil {
		s.startLeases(options, hooks)
	}
	if s.leases != nil && options.rollouts.Given {
		s.startRollouts(options, local)
	}
	return nil
}

// membershipEvents returns the handlers that pass membership events on to the services that need them.
func (s *clusterServices) membershipEvents(local localRouter) membership.Events {
	var events membership.Events
	if s.sharedProbes != nil {
		events = s.sharedProbes.Events(local.now)
	}
	events.Message = s.receive
	if s.leases != nil {
		onDown := events.MemberDown
		events.MemberDown = func(name string, incarnation uint64, left bool) {
			if onDown != nil {
				onDown(name, incarnation, left)
			}
			s.leases.MemberGone(name)
		}
	}
	return events
}

// createLeases creates the lease service and the version audit; both send their messages through the membership.
func (s *clusterServices) createLeases(options operatorOptions, joined <-chan struct{}, hooks TestHooks) {
	send := func(to string, kind uint8, body []byte) error {
		<-joined
		return s.membership.SendDatagram(to, kind, body)
	}
	members := func() []string {
		<-joined
		return s.membership.Members()
	}
	clock := hooks.LeaseClock
	if clock == nil {
		clock = leaseservice.Clock
	}
	s.leases = leaseservice.New(options.membership.Name, options.membership.Cluster, options.leases, clock, send)
	s.audit = versionaudit.New(options.membership.Name, options.versionAudit, s.leases, members, send)
}

func (s *clusterServices) startLeases(options operatorOptions, hooks TestHooks) {
	s.leases.Start()
	s.audit.Start(options.leases.LongestLease)
	if hooks.OnLeases != nil {
		go hooks.OnLeases(s.leases)
	}
	if s.admin != nil {
		s.leases.RegisterCommands(s.admin)
	}
}

func (s *clusterServices) startRollouts(options operatorOptions, local localRouter) {
	local.engine.EnableClusterServices(local.latencyObjectives)
	rollouts := rolloutservice.New(rolloutservice.Config{
		Self:         options.membership.Name,
		Settings:     options.rollouts,
		Voters:       options.leases.Voters.Names,
		LongestLease: options.leases.LongestLease,
		Router:       local.rollouts,
		Leases:       s.leases,
		Clock:        leaseservice.Clock,
		Members:      s.membership.Members,
		Send:         s.membership.Send,
	})
	rollouts.Start()
	s.rollouts.Store(rollouts)
	if s.admin != nil {
		rollouts.Serve(s.admin)
	}
}

// receive passes a member's message to the service that handles its kind.
func (s *clusterServices) receive(from string, _ uint64, kind uint8, body []byte) {
	if s.leases == nil {
		return
	}
	switch kind {
	case membership.KindRollout:
		if rollouts := s.rollouts.Load(); rollouts != nil {
			rollouts.Receive(from, body)
		}
	case membership.KindVersionAudit:
		s.audit.HandleMessage(from, body)
	default:
		s.leases.Receive(from, kind, body)
	}
}

// setListVersion tells the version audit which version of the endpoint list is in use.
func (s *clusterServices) setListVersion(version int64) {
	if s.audit != nil {
		s.audit.SetVersion(version)
	}
}

// reload reads the operator's file again. Changes of the cluster's keys and of the lease voters take effect at once; all
// other changes need a restart, and a warning is logged.
func (s *clusterServices) reload(path string) {
	if path == "" {
		return
	}
	updated, err := readOperatorFile(path, s.name)
	if err != nil {
		rejectedConfigs.Add()
		slog.Error("operator's file rejected; keeping the previous one", "err", err)
		return
	}
	if err := s.changeKeys(updated); err != nil {
		slog.Error("replacing the cluster keys failed", "err", err)
		return
	}
	s.changeVoters(updated)
	updated.leases.Voters = s.options.leases.Voters
	if !reflect.DeepEqual(updated, s.options) {
		slog.Warn("changes in the operator's file other than keys and voters take effect only after a restart")
	}
}

func (s *clusterServices) changeKeys(updated operatorOptions) error {
	if s.membership != nil && !reflect.DeepEqual(updated.membership.Keys, s.options.membership.Keys) {
		if err := s.membership.ReplaceKeys(updated.membership.Keys); err != nil {
			return err
		}
		changedKeys.Add()
		slog.Info("cluster keys replaced", "keys", len(updated.membership.Keys))
	}
	s.options.membership.Keys = updated.membership.Keys
	return nil
}

func (s *clusterServices) changeVoters(updated operatorOptions) {
	voters := updated.leases.Voters
	if s.leases == nil || reflect.DeepEqual(voters, s.options.leases.Voters) {
		return
	}
	if err := s.leases.SetVoters(voters); err != nil {
		rejectedConfigs.Add()
		slog.Error("new voters rejected; keeping the previous ones", "why", err)
		return
	}
	slog.Info("voters changed", "number", voters.Number, "names", voters.Names)
	s.options.leases.Voters = voters
}

// leave stops the services in order, so that other routers take over while this one answers its open requests.
func (s *clusterServices) leave() {
	if s.audit != nil {
		s.audit.Stop()
	}
	if rollouts := s.rollouts.Load(); rollouts != nil {
		rollouts.Stop()
	}
	if s.leases != nil {
		s.leases.Shutdown()
	}
	s.close()
}

// close closes the admin socket and leaves the membership. It does not stop the other services; leave stops them first.
func (s *clusterServices) close() {
	if s.admin != nil {
		s.admin.Close()
	}
	if s.membership != nil {
		s.membership.Leave()
	}
}
