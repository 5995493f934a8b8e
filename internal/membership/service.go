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

// The library's own timing.
const (
	heartbeatInterval = 500 * time.Millisecond // between heartbeats, each to one member
	heartbeatTimeout  = 250 * time.Millisecond // for an answer; other members are then asked to try too
	// suspicionMultiplier sets how soon a suspected member is declared lost: after this many heartbeat intervals, times
	// log10(members) if there are more than ten, without a refutation. Unless another member confirms the suspicion it takes
	// loneSuspicionMultiplier times as long.
	suspicionMultiplier = 3
	// loneSuspicionMultiplier is how many times longer an instance waits if no other member confirms its suspicion: it may
	// be cut off itself.
	loneSuspicionMultiplier = 2
	// nameReclaimDelay is how long after a member's loss its name may not come back from another address. A machine that is
	// replaced must join at once; 0 would forbid it for ever.
	nameReclaimDelay = time.Millisecond
	// membershipRetransmit is how often, times the logarithm of the members, the library sends on a change of membership.
	membershipRetransmit = 3
	stateSyncInterval    = 15 * time.Second       // between exchanges of all membership state with one member
	streamTimeout        = 2 * time.Second        // for a connection between members
	leaveTimeout         = 500 * time.Millisecond // for the message to get out that this instance leaves
	// missingMembersInterval is the time between looks whether members that are missing are to be tried again.
	missingMembersInterval = 500 * time.Millisecond
)

// updateMemory is how long (us) an update is handed to members that join.
const updateMemory = 60_000_000

// Events report what happens; a nil one is not called. Each is called on a goroutine of the membership library and must
// not block.
type Events struct {
	// MemberUp reports that a member is alive, or that it has started again.
	MemberUp func(name string, weight float64, incarnation uint64)
	// MemberDown reports that a member was lost, or that it left in order.
	MemberDown func(name string, incarnation uint64, left bool)
	// Updates takes updates by other instances.
	Updates func([]assignment.Update)
	// Rejoined reports how often this instance came back, as others counted it (assignment.Table.Rejoins).
	Rejoined func(times int)
	// Message takes a direct message.
	Message func(from string, incarnation uint64, kind uint8, body []byte)
}

// setDefaults replaces nil events by ones that do nothing.
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

// WrapTransport puts something between the library and the network, for tests and proofs.
type WrapTransport func(memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

// Service is one instance's part in the membership. Its methods may be called from any goroutine.
type Service struct {
	settings Settings
	events   Events
	list     *memberlist.Memberlist
	keyring  *memberlist.Keyring
	started  time.Time
	ready    chan struct{} // closed when list is set
	stopping chan struct{} // closed by Leave and Abort
	running  sync.WaitGroup

	mu          sync.Mutex
	admission   *admission
	missing     *missingMembers
	queue       *broadcastQueue
	random      *rand.Rand // picks the members that a gossip round goes to
	incarnation uint64     // of this process
	lastNumber  uint64     // of this process's gossip messages
	leaving     bool
	live        map[string]metadata     // other members that are alive
	addresses   map[string]string       // where a member was last, kept while it is lost
	streaming   map[string]bool         // members to which a direct message is under way over a connection
	records     map[string]memberRecord // all that were members, up to Settings.MaxMembers
	newest      map[string]newestUpdate // by task
}

// newestUpdate is the newest update of a task.
type newestUpdate struct {
	update assignment.Update
	heldAt int64 // when this instance got it, us
}

// Start joins the other instances, or waits for them if none answers yet. Without a key the error is ErrNoKey; wrap may be
// nil.
func Start(settings Settings, events Events, wrap WrapTransport) (*Service, error) {
	if len(settings.Keys) == 0 {
		return nil, ErrNoKey
	}
	keyring, err := memberlist.NewKeyring(settings.Keys, settings.Keys[0])
	if err != nil {
		return nil, err
	}
	events.setDefaults()
	incarnation := uint64(time.Now().UnixMicro()) // greater than at the last start, unless the clock went back
	s := &Service{
		settings:    settings,
		events:      events,
		keyring:     keyring,
		started:     time.Now(),
		ready:       make(chan struct{}),
		stopping:    make(chan struct{}),
		admission:   newAdmission(0, settings.Cluster, settings.MaxMembers),
		missing:     newMissingMembers(0, settings.Seeds),
		queue:       &broadcastQueue{},
		random:      rand.New(rand.NewPCG(incarnation, 0)),
		incarnation: incarnation,
		live:        map[string]metadata{},
		addresses:   map[string]string{},
		streaming:   map[string]bool{},
		records:     map[string]memberRecord{},
		newest:      map[string]newestUpdate{},
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
	s.running.Go(s.findMissingMembers)
	s.running.Go(s.gossip)
	return s, nil
}

// libraryConfig makes the library's configuration, and opens the sockets.
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

// splitAddress splits a checked address host:port.
func splitAddress(address string) (host string, port int) {
	host, text, _ := net.SplitHostPort(address)
	port, _ = strconv.Atoi(text)
	return host, port
}

// Address is where the others reach this instance, host:port.
func (s *Service) Address() string { return s.list.LocalNode().Address() }

// Incarnation is this process's number: greater than that of any former process under its name.
func (s *Service) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Members returns the names of the other live members, in order.
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

// RecordRejoins notes how often a member came back (assignment.Table.Rejoins), for the member to be told of when it joins.
func (s *Service) RecordRejoins(name string, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, known := s.records[name]
	if !known { // memberUp bounds the records
		return
	}
	record.Rejoins = times
	s.records[name] = record
}

// now is the time in us since Start, for what decides.
func (s *Service) now() int64 { return time.Since(s.started).Microseconds() }

// findMissingMembers looks for the first members, and again for whoever is missing, until the service ends.
func (s *Service) findMissingMembers() {
	for {
		s.mu.Lock()
		addresses := s.missing.addressesToTry(s.now(), len(s.live) == 0)
		s.mu.Unlock()
		for _, address := range addresses { // in turn: one that hangs must not keep the rest out
			if address == s.Address() {
				continue
			}
			joinAttempts.Add()
			if _, err := s.list.Join([]string{address}); err != nil {
				slog.Debug("no member", "address", address, "err", err)
			}
		}
		select {
		case <-s.stopping:
			return
		case <-time.After(missingMembersInterval):
		}
	}
}

// publishMetadata tells the others what this instance says of itself now.
func (s *Service) publishMetadata() {
	<-s.ready
	if err := s.list.UpdateNode(leaveTimeout); err != nil {
		slog.Debug("metadata not published at once", "err", err)
	}
}

// Leave tells the others that this instance leaves, and ends the service.
func (s *Service) Leave() {
	close(s.stopping)
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.publishMetadata()
	if err := s.list.Leave(leaveTimeout); err != nil {
		slog.Debug("left without notice", "err", err)
	}
	s.shutdown()
}

// Abort ends the service without notice to the others, as a crash does; for tests.
func (s *Service) Abort() {
	close(s.stopping)
	s.shutdown()
}

func (s *Service) shutdown() {
	if err := s.list.Shutdown(); err != nil {
		slog.Debug("membership did not end", "err", err)
	}
	s.running.Wait()
}
