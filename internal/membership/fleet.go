// Package membership carries membership and messages among cooperating routers, on a membership library over TCP and
// UDP. It decides who may be a member and which message is news (gate.go); what becomes of members and words is the
// business of whoever starts it. Everything is encrypted, with keys that can be changed in service.
package membership

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"cairntiller/internal/assignment"
	"cairntiller/internal/metrics"
	"cairntiller/internal/sexp"
)

const (
	beatEvery   = 500 * time.Millisecond // between the library's own looks at one member each
	beatWait    = 250 * time.Millisecond // for its answer; others are then asked to look too
	suspectMult = 3                      // beats, times the logarithm of the members, that a suspect has to object
	loneMult    = 2                      // times longer that an instance waits which nobody confirms: it may be cut off itself
	reclaimWait = time.Millisecond       // after a member's loss until its name may come back from elsewhere
	gossipEvery = 100 * time.Millisecond // between rounds of news, of words and of membership
	gossipMult  = 3                      // times the logarithm of the members that the library sends on news of them
	syncEvery   = 15 * time.Second       // between exchanges of all state with one member
	streamWait  = 2 * time.Second        // for a connection among members
	leaveWait   = 500 * time.Millisecond // for a word of leaving to get out
	seekEvery   = 500 * time.Millisecond // between looks for members that are missing
	boardKept   = 60_000_000             // us for which a word is handed to members that join
)

var (
	joined    = metrics.New("members joined")
	lost      = metrics.New("members lost")
	refusedV  = metrics.New("members of another version")
	refusedC  = metrics.New("members of another cluster")
	refusedK  = metrics.New("members with a wrong key")
	refusedF  = metrics.New("members over the bounds")
	conflicts = metrics.New("members under a name taken")
	said      = metrics.New("messages to members")
	taken     = metrics.New("messages of members")
	known     = metrics.New("messages of members, known")
	unread    = metrics.New("messages of members, unread")
	seeks     = metrics.New("looks for missing members")
	givenUp   = metrics.New("messages to members given up")
	sentTo    = metrics.New("messages to one member")
	toldBy    = metrics.New("messages from one member")
	toldOver  = metrics.New("messages from one member over its rate")
)

// Events are what the fleet tells; each is called on a goroutine of the library's and must not block.
type Events struct {
	MemberUp   func(name string, weight float64, born uint64)
	MemberDown func(name string, born uint64, left bool)
	Updates    func([]assignment.Update)
	Rejoined   func(times int) // others saw this instance come back so often
	Message    func(from string, born uint64, kind uint8, body []byte)
}

// fill stands for what nobody wants to be told.
func (e *Events) fill() {
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

// Place is where an instance stands among the others.
type Settings struct {
	Name, Cluster     string
	Listen, Advertise string // host:port each; Advertise may be empty
	Seeds             []string
	Keys              [][]byte // the first is the one to send with
	MaxMembers        int      // members at most
	Weight            float64
	Bandwidth         int // bytes a second that words may take on the way out
}

// Wrap stands between the library and the network; for tests and proofs.
type WrapTransport func(memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

// Read takes an instance's place from the operator's file; otherwise is its name where the file gives none.
func ReadSettings(p *sexp.Part, otherwise string) Settings {
	at := Settings{Name: p.Text("name", otherwise), Cluster: p.Text("cluster", "cairntiller"),
		Listen: p.Text("listen", ""), Advertise: p.Text("advertise", ""), Seeds: p.Texts("join"),
		MaxMembers: p.Integer("members", 256, 1, 10_000), Weight: p.Number("weight", 1, 0.01, 1000),
		Bandwidth: int(p.Size("bandwidth", 1<<20, 1<<14, 1<<30))}
	keys := p.Texts("keys")
	file := p.Text("key-file", "")
	if !p.Present() {
		return at
	}
	if at.Name == "" || len(at.Name) > mostName {
		p.AddFault("name", fmt.Sprintf("a name of %d bytes", len(at.Name)), fmt.Sprintf("one of 1 to %d, no other member's", mostName))
	}
	for name, address := range map[string]string{"listen": at.Listen, "advertise": at.Advertise} {
		if address == "" && name == "advertise" {
			continue
		}
		host, port, err := net.SplitHostPort(address)
		if _, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || net.ParseIP(host) == nil {
			p.AddFault(name, strconv.Quote(address), `an address such as "10.0.0.1:7946"`)
		}
	}
	for _, one := range at.Seeds {
		if _, _, err := net.SplitHostPort(one); err != nil {
			p.AddFault("join", strconv.Quote(one), `addresses such as "10.0.0.1:7946"`)
		}
	}
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			p.AddFault("key-file", err.Error(), "a file with one key a line")
		}
		keys = append(keys, strings.Fields(string(raw))...)
	}
	for _, one := range keys {
		key, err := base64.StdEncoding.DecodeString(one)
		if err != nil || memberlist.ValidateKey(key) != nil {
			p.AddFault("keys", fmt.Sprintf("a key of %d signs", len(one)), "16, 24 or 32 random bytes in base64")
			continue
		}
		at.Keys = append(at.Keys, key)
	}
	if len(keys) == 0 && file == "" {
		p.AddFault("keys", "no key", "at least one, in keys or key-file: 16, 24 or 32 random bytes in base64")
	}
	return at
}

// Fleet is one instance's membership.
type Service struct {
	at     Settings
	events Events
	list   *memberlist.Memberlist
	ring   *memberlist.Keyring
	zero   time.Time
	ready  chan struct{}
	over   chan struct{}
	done   sync.WaitGroup

	mu     sync.Mutex
	gate   *gate
	spread *spreader
	rng    *rand.Rand
	seeker *seeker
	born   uint64
	number uint64
	leaves bool
	live   map[string]about   // other members
	where  map[string]string  // address at which a member was last, kept while it is missing
	large  map[string]bool    // members to which a large message is under way
	seen   map[string]returns // of all that were members, as many as the bound lets in
	board  map[string]posted  // newest word of each duty
}

type posted struct {
	word assignment.Update
	at   int64
}

// Start joins the fleet, or waits for others where nobody answers yet.
func Start(at Settings, events Events, wrap WrapTransport) (*Service, error) {
	ring, err := memberlist.NewKeyring(at.Keys, at.Keys[0])
	if err != nil {
		return nil, err
	}
	f := &Service{at: at, ring: ring, zero: time.Now(),
		ready: make(chan struct{}), over: make(chan struct{}),
		born: uint64(time.Now().UnixMicro()), live: map[string]about{}, where: map[string]string{}, large: map[string]bool{}, seen: map[string]returns{}, board: map[string]posted{}}
	events.fill()
	f.events = events
	f.gate, f.seeker = newGate(0, at.Cluster, at.MaxMembers), newSeeker(0, at.Seeds)
	f.spread, f.rng = &spreader{}, rand.New(rand.NewPCG(f.born, 0))
	host, port, _ := net.SplitHostPort(at.Listen)
	number, _ := strconv.Atoi(port)
	lines := log.New(heard{}, "", 0)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Keyring = at.Name, at.Cluster, ring
	c.BindAddr, c.BindPort, c.AdvertisePort = host, number, number
	if at.Advertise != "" {
		outside, port, _ := net.SplitHostPort(at.Advertise)
		c.AdvertiseAddr = outside
		c.AdvertisePort, _ = strconv.Atoi(port)
	} else if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		c.AdvertiseAddr = host
	}
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = beatEvery, beatWait, suspectMult
	c.GossipInterval, c.RetransmitMult, c.PushPullInterval = gossipEvery, gossipMult, syncEvery
	c.TCPTimeout, c.EnableCompression = streamWait, false
	c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = loneMult, loneMult
	c.DeadNodeReclaimTime = reclaimWait
	c.Delegate, c.Events, c.Alive, c.Conflict = f, f, f, f
	c.Logger = lines
	net, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: number, Logger: lines})
	if err != nil {
		return nil, err
	}
	if c.BindPort == 0 {
		c.BindPort = net.GetAutoBindPort()
		if at.Advertise == "" {
			c.AdvertisePort = c.BindPort
		}
	}
	c.Transport = net
	if wrap != nil {
		c.Transport = wrap(net)
	}
	if f.list, err = memberlist.Create(c); err != nil {
		return nil, errors.Join(err, net.Shutdown())
	}
	close(f.ready)
	f.done.Go(f.seek)
	f.done.Go(f.gossip)
	return f, nil
}

// Address is where the others reach this instance.
func (f *Service) Address() string { return f.list.LocalNode().Address() }

// Born is this process's number among all that had its name.
func (f *Service) Incarnation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.born
}

func (f *Service) now() int64 { return time.Since(f.zero).Microseconds() }

// seek looks for the first members, and again for whoever is missing.
func (f *Service) seek() {
	for {
		f.mu.Lock()
		ask := f.seeker.ask(f.now(), len(f.live) == 0)
		f.mu.Unlock()
		for _, one := range ask { // in turn: one that hangs must not keep the rest out
			if one == f.Address() {
				continue
			}
			seeks.Add()
			if _, err := f.list.Join([]string{one}); err != nil {
				slog.Debug("no member", "address", one, "err", err)
			}
		}
		select {
		case <-f.over:
			return
		case <-time.After(seekEvery):
		}
	}
}

// Say spreads what this instance learnt.
func (f *Service) Broadcast(words []assignment.Update) {
	f.post(words)
	for _, one := range pack(f.at.Name, words) {
		f.mu.Lock()
		f.number++
		e := envelope{Version: version, Origin: f.at.Name, Born: f.born, Number: f.number, Words: one}
		f.gate.news(e.Origin, e.Born, e.Number) // an echo is none
		f.mu.Unlock()
		said.Add()
		f.send(e)
	}
}

// send queues a message.
func (f *Service) send(e envelope) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spread.add(&item{e: e, at: f.now(), size: len(e.Words) + len(e.Origin) + 32})
	for ; f.spread.lost > 0; f.spread.lost-- {
		givenUp.Add()
	}
}

// gossip sends the rounds of news; a message's age is what it is when it goes out.
func (f *Service) gossip() {
	beat := time.NewTicker(gossipEvery)
	defer beat.Stop()
	for {
		select {
		case <-f.over:
			return
		case <-beat.C:
		}
		others := slices.DeleteFunc(f.list.Members(), func(n *memberlist.Node) bool { return n.Name == f.at.Name })
		f.mu.Lock()
		some := targets(len(others), f.rng.IntN)
		now := f.now()
		budget := f.at.Bandwidth / int(time.Second/gossipEvery) / max(1, len(some))
		var raw [][]byte
		for _, one := range f.spread.round(1+len(others), budget) {
			e := one.e
			e.Held += now - one.at
			raw = append(raw, encode(e))
		}
		f.mu.Unlock()
		for _, packet := range packets(raw) {
			for _, i := range some {
				if err := f.list.SendBestEffort(others[i], packet); err != nil {
					slog.Debug("not sent", "to", others[i].Name, "err", err)
				}
			}
		}
	}
}

// post keeps the newest word of each duty for members that join.
func (f *Service) post(words []assignment.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, w := range words {
		old, ok := f.board[w.Key]
		if !ok && len(f.board) >= mostWords {
			continue
		}
		if !ok || now-w.Age >= old.at-old.word.Age {
			f.board[w.Key] = posted{w, now}
		}
	}
}

// Forget drops the words of a duty that is no more.
func (f *Service) ForgetUpdate(key string) {
	f.mu.Lock()
	delete(f.board, key)
	f.mu.Unlock()
}

// Returns notes how often a member came back, to be told to it.
func (f *Service) RecordRejoins(name string, times int) {
	f.mu.Lock()
	if one, known := f.seen[name]; known { // the bound on those kept is where they come up
		one.Times = times
		f.seen[name] = one
	}
	f.mu.Unlock()
}

// Rekey takes other keys: the first is sent with, all are understood, those no longer named are not.
func (f *Service) ReplaceKeys(keys [][]byte) error {
	for _, one := range keys {
		if err := f.ring.AddKey(one); err != nil {
			return err
		}
	}
	if err := f.ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range f.ring.GetKeys() {
		kept := false
		for _, one := range keys {
			kept = kept || bytes.Equal(old, one)
		}
		if !kept {
			if err := f.ring.RemoveKey(old); err != nil {
				return err
			}
		}
	}
	return nil
}

// renew tells the others what this instance says of itself now.
func (f *Service) renew() {
	<-f.ready
	if err := f.list.UpdateNode(leaveWait); err != nil {
		slog.Debug("not told at once", "err", err)
	}
}

// Leave tells the others that this instance goes, and ends its part.
func (f *Service) Leave() {
	close(f.over)
	f.mu.Lock()
	f.leaves = true
	f.mu.Unlock()
	f.renew()
	if err := f.list.Leave(leaveWait); err != nil {
		slog.Debug("left without a word", "err", err)
	}
	f.end()
}

// Cut ends its part without a word, as a crash does; for tests.
func (f *Service) Abort() {
	close(f.over)
	f.end()
}

func (f *Service) end() {
	if err := f.list.Shutdown(); err != nil {
		slog.Debug("membership did not end", "err", err)
	}
	f.done.Wait()
}

// NodeMeta implements memberlist.Delegate.
func (f *Service) NodeMeta(int) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return encode(about{Version: version, Cluster: f.at.Cluster, Born: f.born, Weight: f.at.Weight, Leaving: f.leaves})
}

// Send sends a message to one member, where it was last seen; it may be lost, doubled or late. It never blocks for
// longer than the system takes to take a datagram.
func (f *Service) SendDatagram(to string, kind uint8, body []byte) error {
	f.mu.Lock()
	at, known := f.where[to]
	f.mu.Unlock()
	switch {
	case !known:
		return ErrUnknownMember
	case len(body) > MaxDatagram:
		return ErrOutOfBounds
	}
	return f.list.SendToAddress(memberlist.Address{Addr: at, Name: to}, f.straight(kind, body))
}

// straight packs a message to one member.
func (f *Service) straight(kind uint8, body []byte) []byte {
	sentTo.Add()
	f.mu.Lock()
	born := f.born
	f.mu.Unlock()
	return encode(direct{Version: version, From: f.at.Name, Born: born, Kind: kind, Body: body})
}

// Members are the names of the other live members.
func (f *Service) Members() (all []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.live {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// hand takes a message that was sent to this member alone.
func (f *Service) hand(raw []byte) {
	d, err := readDirect(raw)
	if err != nil {
		unread.Add()
		return
	}
	f.mu.Lock()
	fits := f.gate.straight(f.now(), d.From)
	f.mu.Unlock()
	if !fits {
		toldOver.Add()
		return
	}
	toldBy.Add()
	f.events.Message(d.From, d.Born, d.Kind, d.Body)
}

// NotifyMsg implements memberlist.Delegate.
func (f *Service) NotifyMsg(raw []byte) {
	if isDirect(raw) {
		f.hand(raw)
		return
	}
	var some [][]byte
	if len(raw) > 2*mostPacket || decoding.Unmarshal(raw, &some) != nil {
		unread.Add()
		return
	}
	for _, one := range some {
		f.take(one)
	}
}

// take checks a message, hands it on and sends it further, once.
func (f *Service) take(raw []byte) {
	e, err := readEnvelope(raw)
	var words []assignment.Update
	if err == nil {
		words, err = unpack(&e)
	}
	if err != nil {
		unread.Add()
		slog.Debug("a member's message can't be read", "err", err)
		return
	}
	e.Words = bytes.Clone(e.Words)
	f.mu.Lock()
	first := f.gate.news(e.Origin, e.Born, e.Number)
	f.mu.Unlock()
	if !first {
		known.Add()
		return
	}
	taken.Add()
	f.send(e)
	f.post(words)
	f.events.Updates(words)
}

// GetBroadcasts implements memberlist.Delegate; words go by gossip, for the library sends one packet a round at most.
func (f *Service) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate: what a member that joins is handed. The library's regular exchanges
// carry none of it: each word is said anew every interval, and all state each time would grow with all nodes.
func (f *Service) LocalState(join bool) []byte {
	if !join {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	s := state{Version: version}
	for _, one := range f.seen {
		s.Members = append(s.Members, one)
	}
	for key, p := range f.board {
		w := p.word
		if w.Age += now - p.at; w.Age > boardKept {
			delete(f.board, key)
			continue
		}
		s.Words = append(s.Words, onWire(w))
	}
	return encode(s)
}

// MergeRemoteState implements memberlist.Delegate.
func (f *Service) MergeRemoteState(raw []byte, _ bool) {
	if len(raw) == 0 {
		return
	}
	var s state
	if len(raw) > mostState || decoding.Unmarshal(raw, &s) != nil || s.Version != version {
		unread.Add()
		return
	}
	all, err := words(s.Words, "", 0)
	if err != nil {
		unread.Add()
		return
	}
	times := 0
	f.mu.Lock()
	for _, m := range s.Members {
		if m.Name == f.at.Name {
			times = m.Times
			if m.Born > f.born { // a clock went back since the last start: this process is the newer one
				f.born = m.Born + 1
				go f.renew()
			}
		}
	}
	f.mu.Unlock()
	f.post(all)
	if times > 0 {
		f.events.Rejoined(times)
	}
	f.events.Updates(all)
}

// NotifyAlive implements memberlist.AliveDelegate: who may be a member.
func (f *Service) NotifyAlive(n *memberlist.Node) error {
	if n.Name == f.at.Name {
		return nil
	}
	m, err := readAbout(n.Meta)
	if err == nil {
		f.mu.Lock()
		err = f.gate.admit(f.now(), n.Name, m)
		f.mu.Unlock()
	}
	switch err {
	case nil:
	case ErrVersion, ErrMetadata:
		refusedV.Add()
	case ErrCluster:
		refusedC.Add()
	default:
		refusedF.Add()
	}
	return err
}

// NotifyConflict implements memberlist.ConflictDelegate: two instances under one name.
func (f *Service) NotifyConflict(existing, other *memberlist.Node) {
	conflicts.Add()
	slog.Warn("two members under one name", "name", existing.Name, "held", existing.Address(), "turned away", other.Address())
}

// NotifyJoin implements memberlist.EventDelegate.
func (f *Service) NotifyJoin(n *memberlist.Node) {
	if n.Name == f.at.Name {
		return
	}
	joined.Add()
	slog.Info("member joined", "name", n.Name, "address", n.Address())
	f.up(n)
}

// NotifyUpdate implements memberlist.EventDelegate: a member started again before anybody missed it.
func (f *Service) NotifyUpdate(n *memberlist.Node) {
	if n.Name != f.at.Name {
		f.up(n)
	}
}

func (f *Service) up(n *memberlist.Node) {
	m, err := readAbout(n.Meta)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.live[n.Name] = m
	if len(f.where) >= 2*f.at.MaxMembers { // names that came and went
		maps.DeleteFunc(f.where, func(name, _ string) bool { _, lives := f.live[name]; return !lives })
	}
	f.where[n.Name] = n.Address()
	if one := f.seen[n.Name]; len(f.seen) < f.at.MaxMembers || one.Name != "" {
		f.seen[n.Name] = returns{Name: n.Name, Born: max(m.Born, one.Born), Times: one.Times}
	}
	f.gate.stay(f.now(), n.Name)
	f.seeker.back(n.Address())
	f.mu.Unlock()
	if !m.Leaving {
		f.events.MemberUp(n.Name, m.Weight, m.Born)
	}
}

// NotifyLeave implements memberlist.EventDelegate.
func (f *Service) NotifyLeave(n *memberlist.Node) {
	if n.Name == f.at.Name {
		return
	}
	f.mu.Lock()
	m := f.live[n.Name]
	delete(f.live, n.Name)
	if !m.Leaving {
		f.seeker.gone(f.now(), n.Address())
	}
	f.gate.stay(f.now(), n.Name)
	f.mu.Unlock()
	lost.Add()
	slog.Info("member gone", "name", n.Name, "left", m.Leaving)
	f.events.MemberDown(n.Name, m.Born, m.Leaving)
}

// heard takes the library's log: what it turns away is counted, the rest is for debugging.
type heard struct{}

func (heard) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	switch {
	case strings.Contains(line, "could decrypt"), strings.Contains(line, "ecrypt packet failed"),
		strings.Contains(line, "not encrypted"), strings.Contains(line, "encryption is not configured"):
		refusedK.Add()
	case strings.Contains(line, "unacceptable label"):
		refusedC.Add()
	}
	slog.Debug("membership", "line", line)
	return len(p), nil
}

// SendLarge sends a message of up to MostLarge bytes to one live member, over a connection; it returns at once, and a
// message to a member that has one under way is given up.
func (f *Service) SendStream(to string, kind uint8, body []byte) error {
	if len(body) > MaxStream {
		return ErrOutOfBounds
	}
	var node *memberlist.Node
	for _, n := range f.list.Members() {
		if n.Name == to {
			node = n
		}
	}
	if node == nil {
		return ErrUnknownMember
	}
	f.mu.Lock()
	busy := f.large[to]
	f.large[to] = true
	f.mu.Unlock()
	if busy {
		givenUp.Add()
		return nil
	}
	go func() {
		if err := f.list.SendReliable(node, f.straight(kind, body)); err != nil {
			slog.Debug("a large message was not sent", "to", to, "err", err)
		}
		f.mu.Lock()
		delete(f.large, to)
		f.mu.Unlock()
	}()
	return nil
}

// Any sends a message by the way that its size needs.
func (f *Service) Send(to string, kind uint8, body []byte) error {
	if len(body) <= MaxDatagram {
		return f.SendDatagram(to, kind, body)
	}
	return f.SendStream(to, kind, body)
}
