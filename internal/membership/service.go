package membership

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"cairntiller/internal/assignment"
)

// Timing of memberlist.
const (
	heartbeatInterval = 500 * time.Millisecond // between two heartbeats; each goes to one member
	heartbeatTimeout  = 250 * time.Millisecond // for a response; other members are then asked to try as well
	// suspicionMultiplier sets the time after which a suspected member is declared lost unless it refutes the
	// suspicion: this many heartbeat intervals, times log10(members) if there are more than ten. Unless another member
	// confirms the suspicion, the time is loneSuspicionMultiplier times as long.
	suspicionMultiplier = 3
	// loneSuspicionMultiplier extends the time before a member is declared lost while no other member confirms the
	// suspicion: this instance may be the disconnected one.
	loneSuspicionMultiplier = 2
	// nameReclaimDelay is the time after a member's loss before its name may return from another address. It is minimal
	// because a replacement machine must be able to join at once; 0 would forbid it forever.
	nameReclaimDelay = time.Millisecond
	// membershipRetransmit is the number of times, multiplied by the logarithm of the number of members, that
	// memberlist transmits a membership change.
	membershipRetransmit = 3
	stateSyncInterval    = 15 * time.Second       // between full exchanges of membership state with one member
	streamTimeout        = 2 * time.Second        // for stream connections between members
	leaveTimeout         = 500 * time.Millisecond // for the announcement that this instance leaves
	// missingMembersInterval is the time between checks whether missing members should be retried.
	missingMembersInterval = 500 * time.Millisecond
)

// updateRetention is the time (us) for which an update is handed to joining members.
const updateRetention = 60_000_000

// Events are callbacks of a Service; nil ones are not called. They are called on goroutines of memberlist and must not
// block.
type Events struct {
	// MemberUp reports that a member is alive or has restarted.
	MemberUp func(name string, weight float64, incarnation uint64)
	// MemberDown reports that a member was lost, or that it left gracefully.
	MemberDown func(name string, incarnation uint64, left bool)
	// Updates receives updates of other instances.
	Updates func([]assignment.Update)
	// Rejoined reports the number of recent rejoins of this instance, as counted by others (assignment.Table.Rejoins).
	Rejoined func(count int)
	// Message receives a direct message.
	Message func(from string, incarnation uint64, kind uint8, body []byte)
}

// setDefaults replaces nil callbacks by functions that do nothing.
func (e *Events) setDefaults() {
	if e.MemberUp == nil {
		e.MemberUp = func(string, float64, uint64) {}
	}
	if e.MemberDown == nil {
		e.MemberDown = func(string, uint64, bool) {}
	}
	if e.Updates == nil {
		e.Updates = func([]assignment.Update) {}
	}
	if e.Rejoined == nil {
		e.Rejoined = func(int) {}
	}
	if e.Message == nil {
		e.Message = func(string, uint64, uint8, []byte) {}
	}
}

// WrapTransport wraps the network transport of memberlist, for tests and proofs.
type WrapTransport func(memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

// Service is one instance's membership. Its methods may be called from any goroutine.
type Service struct {
	settings Settings
	events   Events
	list     *memberlist.Memberlist
	keyring  *memberlist.Keyring
	started  time.Time
	ready    chan struct{} // closed when list is set
	stopping chan struct{} // closed by Leave and Abort
	workers  sync.WaitGroup

	mu            sync.Mutex
	admission     *admission
	missing       *missingMembers
	queue         *broadcastQueue
	random        *rand.Rand // selects the target members of gossip rounds
	incarnation   uint64     // number of this process among those of the same name
	lastNumber    uint64     // number of the last gossip message of this process
	leaving       bool
	live          map[string]metadata     // other members that are alive
	lastAddresses map[string]string       // last known addresses, including those of lost members
	openStreams   map[string]bool         // members to which a stream message is being sent
	records       map[string]memberRecord // current and former members, at most Settings.MaxMembers
	newestUpdates map[string]newestUpdate // by task key
}

// newestUpdate is the newest update of a task.
type newestUpdate struct {
	update     assignment.Update
	receivedAt int64 // when this instance received or made the update, us
}

// Start joins the other instances, or waits for them if none can be reached yet. It returns ErrNoKey if the settings
// have no key; wrap may be nil.
func Start(settings Settings, events Events, wrap WrapTransport) (*Service, error) {
	if len(settings.Keys) == 0 {
		return nil, ErrNoKey
	}
	keyring, err := memberlist.NewKeyring(settings.Keys, settings.Keys[0])
	if err != nil {
		return nil, err
	}
	events.setDefaults()
	incarnation := uint64(time.Now().UnixMicro()) // greater than that of the previous start, unless the clock was set back
	s := &Service{
		settings:      settings,
		events:        events,
		keyring:       keyring,
		started:       time.Now(),
		ready:         make(chan struct{}),
		stopping:      make(chan struct{}),
		admission:     newAdmission(0, settings.Cluster, settings.MaxMembers),
		missing:       newMissingMembers(0, settings.Seeds),
		queue:         &broadcastQueue{},
		random:        rand.New(rand.NewPCG(incarnation, 0)),
		incarnation:   incarnation,
		live:          map[string]metadata{},
		lastAddresses: map[string]string{},
		openStreams:   map[string]bool{},
		records:       map[string]memberRecord{},
		newestUpdates: map[string]newestUpdate{},
	}
	config, transport, err := s.libraryConfig()
	if err != nil {
		return nil, err
	}
	if wrap != nil {
		config.Transport = wrap(transport)
	}
	if s.list, err = memberlist.Create(config); err != nil {
		return nil, errors.Join(err, transport.Shutdown())
	}
	close(s.ready)
	s.workers.Go(s.joinMissingMembers)
	s.workers.Go(s.gossip)
	return s, nil
}

// libraryConfig returns the configuration of memberlist, and opens the sockets.
func (s *Service) libraryConfig() (*memberlist.Config, *memberlist.NetTransport, error) {
	host, port := splitAddress(s.settings.Listen)
	logger := newLibraryLogger()
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name = s.settings.Name
	c.Label = s.settings.Cluster
	c.Keyring = s.keyring
	c.Transport = transport
	c.Logger = logger
	c.BindAddr = host
	c.BindPort = port
	if port == 0 {
		c.BindPort = transport.GetAutoBindPort()
	}
	c.AdvertisePort = c.BindPort
	if s.settings.Advertise != "" {
		c.AdvertiseAddr, c.AdvertisePort = splitAddress(s.settings.Advertise)
	} else if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		c.AdvertiseAddr = host
	}
	c.ProbeInterval = heartbeatInterval
	c.ProbeTimeout = heartbeatTimeout
	c.SuspicionMult = suspicionMultiplier
	c.SuspicionMaxTimeoutMult = loneSuspicionMultiplier
	c.AwarenessMaxMultiplier = loneSuspicionMultiplier
	c.GossipInterval = gossipInterval
	c.RetransmitMult = membershipRetransmit
	c.PushPullInterval = stateSyncInterval
	c.TCPTimeout = streamTimeout
	c.EnableCompression = false
	c.DeadNodeReclaimTime = nameReclaimDelay
	c.Delegate = s
	c.Events = s
	c.Alive = s
	c.Conflict = s
	return c, transport, nil
}

// splitAddress splits a host:port address that has been validated.
func splitAddress(address string) (host string, port int) {
	host, text, _ := net.SplitHostPort(address)
	port, _ = strconv.Atoi(text)
	return host, port
}

// Address returns the host:port address at which other members reach this instance.
func (s *Service) Address() string { return s.list.LocalNode().Address() }

// Incarnation returns the number of this process, which is greater than those of earlier processes under the same name.
func (s *Service) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Members returns the names of the other live members, sorted.
func (s *Service) Members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.live {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// RecordRejoins stores a member's number of rejoins (assignment.Table.Rejoins), which is sent to the member when it
// joins.
func (s *Service) RecordRejoins(name string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, known := s.records[name]
	if !known { // memberUp limits the number of records
		return
	}
	record.Rejoins = count
	s.records[name] = record
}

// now returns the time in us since Start, as used by all decisions.
func (s *Service) now() int64 { return time.Since(s.started).Microseconds() }

// joinMissingMembers joins the seeds at the start and retries missing members, until the service stops.
func (s *Service) joinMissingMembers() {
	for {
		s.mu.Lock()
		addresses := s.missing.addressesToTry(s.now(), len(s.live) == 0)
		s.mu.Unlock()
		for _, address := range addresses { // one at a time, so that one that hangs does not prevent the others from being tried
			if address == s.Address() {
				continue
			}
			joinAttempts.Add()
			if _, err := s.list.Join([]string{address}); err != nil {
				slog.Debug("join attempt failed", "address", address, "err", err)
			}
		}
		select {
		case <-s.stopping:
			return
		case <-time.After(missingMembersInterval):
		}
	}
}

// publishMetadata announces this instance's current metadata to the other members.
func (s *Service) publishMetadata() {
	<-s.ready
	if err := s.list.UpdateNode(leaveTimeout); err != nil {
		slog.Debug("metadata update not broadcast in time", "err", err)
	}
}

// Leave announces that this instance leaves, and stops the service.
func (s *Service) Leave() {
	close(s.stopping)
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.publishMetadata()
	if err := s.list.Leave(leaveTimeout); err != nil {
		slog.Debug("leave announcement not broadcast", "err", err)
	}
	s.shutdown()
}

// Abort stops the service without an announcement, like a crash; for tests.
func (s *Service) Abort() {
	close(s.stopping)
	s.shutdown()
}

func (s *Service) shutdown() {
	if err := s.list.Shutdown(); err != nil {
		slog.Debug("membership shutdown failed", "err", err)
	}
	s.workers.Wait()
}
