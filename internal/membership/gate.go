package membership

import (
	"cmp"
	"errors"
	"slices"
)

// This file is what membership decides; it does no I/O and is told the time.

const (
	joinsKept   = 64     // members never seen before that may come at once
	joinsRate   = 5.0    // the same a second, later: a flood of new names is turned away, known ones never are
	directKept  = 4000   // messages straight from one member that may come at once: ten thousand leases take 400
	directRate  = 2000.0 // the same a second
	window      = 1024   // messages of one origin by which an older one may come late and still be taken
	askFirst    = 500_000
	askMost     = 10_000_000 // us between attempts to reach members that are missing, doubled from the first
	askAtOnce   = 3          // addresses in one attempt
	addressKept = 3600e6     // us for which a lost member's address is tried again
)

// Why a member or a message is turned away.
var (
	ErrVersion        = errors.New("unknown version")
	ErrCluster        = errors.New("another cluster")
	ErrTooManyJoins   = errors.New("too many new members at once")
	ErrTooManyMembers = errors.New("too many members")
	ErrMetadata       = errors.New("what it says of itself can't be read")
	ErrUnknownMember  = errors.New("no member of that name was ever seen")
)

// gate decides who may be a member, and which message is news.
type gate struct {
	cluster string
	most    int
	store   float64
	storeAt int64
	known   map[string]int64 // when a name was last admitted, in us
	origins map[string]*origin
	pace    map[string]*store
}

// store is what a member may still send straight to this one.
type store struct {
	left float64
	at   int64
}

// origin is what was taken from one process of a member.
type origin struct {
	born uint64
	top  uint64
	seen [window / 64]uint64 // of the numbers up to top, by number modulo the window
}

func newGate(now int64, cluster string, most int) *gate {
	return &gate{cluster: cluster, most: most, store: joinsKept, storeAt: now, known: map[string]int64{},
		origins: map[string]*origin{}, pace: map[string]*store{}}
}

// straight tells whether a message that a member sent to this one alone may be taken: each has a rate of its own, so
// that one which floods keeps nobody else out.
func (g *gate) straight(now int64, name string) bool {
	p := g.pace[name]
	if p == nil {
		if len(g.pace) >= 2*g.most {
			return false
		}
		p = &store{directKept, now}
		g.pace[name] = p
	}
	p.left = min(directKept, p.left+directRate*float64(now-p.at)/1e6)
	p.at = now
	if p.left < 1 {
		return false
	}
	p.left--
	return true
}

// admit decides on a member that says it is alive.
func (g *gate) admit(now int64, name string, m about) error {
	switch {
	case m.Version != version:
		return ErrVersion
	case m.Cluster != g.cluster:
		return ErrCluster
	}
	if _, known := g.known[name]; !known {
		g.store = min(joinsKept, g.store+joinsRate*float64(now-g.storeAt)/1e6)
		g.storeAt = now
		if len(g.known) >= g.most {
			g.forget(now)
		}
		if len(g.known) >= g.most {
			return ErrTooManyMembers
		}
		if g.store < 1 {
			return ErrTooManyJoins
		}
		g.store--
	}
	g.known[name] = now
	return nil
}

// forget drops names that were not heard of for long, so that those that came and went don't fill the places.
func (g *gate) forget(now int64) {
	for name, at := range g.known {
		if now-at > addressKept {
			delete(g.known, name)
			delete(g.origins, name)
			delete(g.pace, name)
		}
	}
}

// stay keeps a live member's place.
func (g *gate) stay(now int64, name string) { g.known[name] = now }

// news tells whether a message by an origin's process, under a number of its own, was not taken before. What a
// former process said comes to nothing once a later one was heard.
func (g *gate) news(name string, born, number uint64) bool {
	o := g.origins[name]
	if o == nil {
		if len(g.origins) >= 2*g.most {
			return false
		}
		o = &origin{born: born}
		g.origins[name] = o
	}
	switch {
	case born < o.born:
		return false
	case born > o.born:
		*o = origin{born: born}
	}
	if number > o.top {
		for n := o.top + 1; n < number && n <= o.top+window; n++ {
			o.seen[n%window/64] &^= 1 << (n % 64)
		}
		o.top = number
	} else if o.top-number >= window || o.seen[number%window/64]&(1<<(number%64)) != 0 {
		return false
	}
	o.seen[number%window/64] |= 1 << (number % 64)
	return true
}

// seeker decides when to look for members that are missing, and where.
type seeker struct {
	seeds []string
	lost  map[string]int64 // address, and when it was lost
	wait  int64
	at    int64
	turn  int
}

func newSeeker(now int64, seeds []string) *seeker {
	return &seeker{seeds: seeds, lost: map[string]int64{}, wait: askFirst, at: now}
}

// gone notes that a member that had not left can't be reached any more.
func (s *seeker) gone(now int64, address string) {
	s.lost[address] = now
	s.wait = askFirst
	s.at = min(s.at, now+s.wait)
}

// back notes that there is a member at an address.
func (s *seeker) back(address string) { delete(s.lost, address) }

// ask returns the addresses to try now; none where nobody is missing. alone tells that there is no other member.
func (s *seeker) ask(now int64, alone bool) []string {
	if now < s.at {
		return nil
	}
	for address, at := range s.lost {
		if now-at > addressKept {
			delete(s.lost, address)
		}
	}
	var all []string
	for address := range s.lost {
		all = append(all, address)
	}
	if alone {
		for _, one := range s.seeds {
			if !slices.Contains(all, one) {
				all = append(all, one)
			}
		}
	}
	if len(all) == 0 {
		s.wait, s.at = askFirst, now+askFirst
		return nil
	}
	slices.SortFunc(all, cmp.Compare[string])
	some := make([]string, 0, askAtOnce)
	for i := range min(askAtOnce, len(all)) {
		some = append(some, all[(s.turn+i)%len(all)])
	}
	s.turn += len(some)
	s.at = now + s.wait
	s.wait = min(2*s.wait, askMost)
	return some
}
