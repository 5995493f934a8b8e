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

// TestHooks replace parts of the machine in tests and proofs; each may be nil.
type TestHooks struct {
	WrapTransport membership.WrapTransport    // stands before the network among routers
	LeaseClock    func() int64                // of leases
	OnLeases      func(*leaseservice.Service) // is given the router's lease service, once it runs
}

// clusterServices are what a router does together with others, and for operators on its machine. Each part is nil if
// the operator's file does not ask for it.
type clusterServices struct {
	name         string // the router's
	options      operatorOptions
	membership   *membership.Service
	sharedProbes *sharedprobes.Service
	leases       *leaseservice.Service
	audit        *versionaudit.Auditor
	admin        *adminsocket.Server
	rollouts     atomic.Pointer[rolloutservice.Service] // messages may come before it has begun
}

// localRouter is the router that the cluster services work for.
type localRouter struct {
	now                 func() int64 // us
	engine              *engine.Engine
	rollouts            *rolloutRouter
	latencyObjectives   []int64 // us, by command group
	healthChecksAllowed bool
}

// startClusterServices starts what the operator's file asks for. It is called before the engine runs.
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
		slog.Warn("the settings allow no health checks, so none are shared")
		options.sharedProbes.Enabled = false
	}
	if !options.sharedProbes.Enabled && !options.leases.Given {
		return nil
	}
	if options.sharedProbes.Enabled {
		s.sharedProbes = sharedprobes.New(local.engine)
	}
	joined := make(chan struct{}) // closed once there is a membership: nothing is sent before
	if options.leases.Given {
		s.makeLeases(options, joined, hooks)
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

// membershipEvents passes what membership tells to the services that need it.
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

// makeLeases makes the lease service and the version audit, which share its messages.
func (s *clusterServices) makeLeases(options operatorOptions, joined <-chan struct{}, hooks TestHooks) {
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

// receive hands a member's message to the service that it is for.
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

// noteListVersion tells which version of the endpoint list is in use.
func (s *clusterServices) noteListVersion(version int64) {
	if s.audit != nil {
		s.audit.SetVersion(version)
	}
}

// reload reads the operator's file again. The cluster's keys and the lease voters change in service; all else takes a
// restart, which the log says.
func (s *clusterServices) reload(path string) {
	if path == "" {
		return
	}
	fresh, err := readOperatorFile(path, s.name)
	if err != nil {
		rejectedConfigs.Add()
		slog.Error("operator's file rejected; the old one holds", "err", err)
		return
	}
	if err := s.changeKeys(fresh); err != nil {
		slog.Error("keys not changed", "err", err)
		return
	}
	s.changeVoters(fresh)
	fresh.leases.Voters = s.options.leases.Voters
	if !reflect.DeepEqual(fresh, s.options) {
		slog.Warn("changes in the operator's file beside keys and voters take effect at a restart")
	}
}

func (s *clusterServices) changeKeys(fresh operatorOptions) error {
	if s.membership != nil && !reflect.DeepEqual(fresh.membership.Keys, s.options.membership.Keys) {
		if err := s.membership.ReplaceKeys(fresh.membership.Keys); err != nil {
			return err
		}
		changedKeys.Add()
		slog.Info("keys changed", "keys", len(fresh.membership.Keys))
	}
	s.options.membership.Keys = fresh.membership.Keys
	return nil
}

func (s *clusterServices) changeVoters(fresh operatorOptions) {
	voters := fresh.leases.Voters
	if s.leases == nil || reflect.DeepEqual(voters, s.options.leases.Voters) {
		return
	}
	if err := s.leases.SetVoters(voters); err != nil {
		rejectedConfigs.Add()
		slog.Error("voters not changed", "why", err)
		return
	}
	slog.Info("voters changed", "number", voters.Number, "names", voters.Names)
	s.options.leases.Voters = voters
}

// leave ends the services in order, so that others take over while the router answers what it owes.
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

// close closes the admin socket and leaves the membership. It does not stop the other services; leave does that first.
func (s *clusterServices) close() {
	if s.admin != nil {
		s.admin.Close()
	}
	if s.membership != nil {
		s.membership.Leave()
	}
}
