package membership

import "errors"

const (
	// joinBurst is how many members never seen before may join at once.
	joinBurst = 64
	// joinRate is how many more may join a second. A flood of new names is refused; known members always come in.
	joinRate = 5.0

	// directBurst is how many direct messages one member may send at once: the renewals of ten thousand leases take 400.
	directBurst = 4000
	// directRate is how many more it may send a second.
	directRate = 2000.0

	// memberMemory is how long (us) a member that is gone is remembered: an hour. It serves two purposes. In admission, the
	// member's name keeps its place among the members allowed, so that it comes back without counting as new. In
	// missing_members.go, the last address of a lost member is tried again for that long.
	memberMemory = 3_600_000_000

	// sendersPerMember bounds the members that rate limits and duplicate filters are kept for, as a multiple of the members
	// allowed: as many names again may have been replaced by others.
	sendersPerMember = 2
)

// Errors tell why a member or a message was rejected, or why a message was not sent.
var (
	ErrVersion        = errors.New("unknown version")
	ErrCluster        = errors.New("another cluster")
	ErrTooManyJoins   = errors.New("too many new members at once")
	ErrTooManyMembers = errors.New("too many members")
	ErrMetadata       = errors.New("what it says of itself can't be read")
	ErrUnknownMember  = errors.New("no member of that name was ever seen")
	ErrOutOfBounds    = errors.New("a field out of bounds")
)

// tokenBucket allows a burst at once and a rate a second after that.
type tokenBucket struct {
	tokens     float64
	refilledAt int64 // us
}

// refill adds what the time since the last refill gives.
func (b *tokenBucket) refill(now int64, burst, rate float64) {
	b.tokens = min(burst, b.tokens+rate*float64(now-b.refilledAt)/1e6)
	b.refilledAt = now
}

// take takes one token, if there is one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// admission decides which instance may be a member, and bounds what each may send.
type admission struct {
	cluster    string
	maxMembers int
	joins      tokenBucket
	admitted   map[string]int64        // when a name was last admitted or seen, in us
	direct     map[string]*tokenBucket // direct messages, by sender
	received   map[string]*duplicateFilter
}

func newAdmission(now int64, cluster string, maxMembers int) *admission {
	return &admission{
		cluster:    cluster,
		maxMembers: maxMembers,
		joins:      tokenBucket{tokens: joinBurst, refilledAt: now},
		admitted:   map[string]int64{},
		direct:     map[string]*tokenBucket{},
		received:   map[string]*duplicateFilter{},
	}
}

// admit decides on a member that says it is alive. The error is one of ErrVersion, ErrCluster, ErrTooManyMembers and
// ErrTooManyJoins.
func (a *admission) admit(now int64, name string, m metadata) error {
	if m.Version != version {
		return ErrVersion
	}
	if m.Cluster != a.cluster {
		return ErrCluster
	}
	if _, known := a.admitted[name]; !known {
		if err := a.admitNew(now); err != nil {
			return err
		}
	}
	a.admitted[name] = now
	return nil
}

// admitNew decides on a name that was not seen before.
func (a *admission) admitNew(now int64) error {
	a.joins.refill(now, joinBurst, joinRate)
	if len(a.admitted) >= a.maxMembers {
		a.forgetOld(now)
	}
	if len(a.admitted) >= a.maxMembers {
		return ErrTooManyMembers
	}
	if !a.joins.take() {
		return ErrTooManyJoins
	}
	return nil
}

// forgetOld drops names that were not seen for long, so that members that came and went do not fill the places.
func (a *admission) forgetOld(now int64) {
	for name, seenAt := range a.admitted {
		if now-seenAt > memberMemory {
			delete(a.admitted, name)
			delete(a.received, name)
			delete(a.direct, name)
		}
	}
}

// keepPlace notes that a member was seen.
func (a *admission) keepPlace(now int64, name string) { a.admitted[name] = now }

// admitDirect reports whether a direct message from a member may be taken. Each member has a rate of its own, so that one
// that floods does not keep the messages of others out.
func (a *admission) admitDirect(now int64, name string) bool {
	bucket := a.direct[name]
	if bucket == nil {
		if len(a.direct) >= sendersPerMember*a.maxMembers {
			return false
		}
		bucket = &tokenBucket{tokens: directBurst, refilledAt: now}
		a.direct[name] = bucket
	}
	bucket.refill(now, directBurst, directRate)
	return bucket.take()
}

// isNew reports whether a gossip message, by an origin's process and under its number, was not taken before. It is also
// false for an origin without a filter while the table of filters is full; its messages are then dropped, and the caller
// counts them as duplicates.
func (a *admission) isNew(origin string, incarnation, number uint64) bool {
	filter := a.received[origin]
	if filter == nil {
		if len(a.received) >= sendersPerMember*a.maxMembers {
			return false
		}
		filter = &duplicateFilter{incarnation: incarnation}
		a.received[origin] = filter
	}
	return filter.isNew(incarnation, number)
}
