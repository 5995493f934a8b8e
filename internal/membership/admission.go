package membership

import "errors"

const (
	// joinBurst is the number of previously unseen members that may join at once.
	joinBurst = 64
	// joinRate is the number of further members that may join per second. A flood of new names is rejected; known
	// members are always admitted.
	joinRate = 5.0

	// directBurst is the number of direct messages that one member may send at once: renewing ten thousand leases takes
	// 400.
	directBurst = 4000
	// directRate is the number of further direct messages that a member may send per second.
	directRate = 2000.0

	// memberRetention is the time (us) for which a member that is gone is remembered: an hour. It is used for two
	// purposes. In admission, the member's name keeps its place among the maximum number of members, so that the member
	// can return without counting as new. In missing_members.go, the last address of a lost member is retried for that
	// long.
	memberRetention = 3_600_000_000

	// sendersPerMember limits the number of members with rate limits and duplicate filters, as a multiple of the
	// maximum number of members: as many former members may have been replaced by new names.
	sendersPerMember = 2
)

// Reasons for which a member or a message is rejected, or a message is not sent.
var (
	ErrVersion        = errors.New("unknown version")
	ErrCluster        = errors.New("another cluster")
	ErrTooManyJoins   = errors.New("too many new members at once")
	ErrTooManyMembers = errors.New("too many members")
	ErrMetadata       = errors.New("invalid member metadata")
	ErrUnknownMember  = errors.New("unknown member")
	ErrOutOfBounds    = errors.New("field out of bounds")
)

// tokenBucket is a rate limiter that allows a burst.
type tokenBucket struct {
	tokens     float64
	refilledAt int64 // us
}

// refill adds the tokens for the time since the last refill.
func (b *tokenBucket) refill(now int64, burst, rate float64) {
	b.tokens = min(burst, b.tokens+rate*float64(now-b.refilledAt)/1e6)
	b.refilledAt = now
}

// take takes a token if one is available.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// admission decides which instances may be members, and limits what each may send.
type admission struct {
	cluster          string
	maxMembers       int
	joins            tokenBucket
	admitted         map[string]int64        // when a name was last admitted or seen, us
	directLimits     map[string]*tokenBucket // limits for direct messages, by sender
	duplicateFilters map[string]*duplicateFilter
}

func newAdmission(now int64, cluster string, maxMembers int) *admission {
	return &admission{
		cluster:          cluster,
		maxMembers:       maxMembers,
		joins:            tokenBucket{tokens: joinBurst, refilledAt: now},
		admitted:         map[string]int64{},
		directLimits:     map[string]*tokenBucket{},
		duplicateFilters: map[string]*duplicateFilter{},
	}
}

// admit decides whether a member that announces itself as alive is admitted. The error is one of ErrVersion,
// ErrCluster, ErrTooManyMembers and ErrTooManyJoins.
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

// admitNew decides on a previously unseen name.
func (a *admission) admitNew(now int64) error {
	a.joins.refill(now, joinBurst, joinRate)
	if len(a.admitted) >= a.maxMembers {
		a.forgetExpired(now)
	}
	if len(a.admitted) >= a.maxMembers {
		return ErrTooManyMembers
	}
	if !a.joins.take() {
		return ErrTooManyJoins
	}
	return nil
}

// forgetExpired drops names that have not been seen for memberRetention, so that former members do not use up the
// limit.
func (a *admission) forgetExpired(now int64) {
	for name, seenAt := range a.admitted {
		if now-seenAt > memberRetention {
			delete(a.admitted, name)
			delete(a.duplicateFilters, name)
			delete(a.directLimits, name)
		}
	}
}

// markSeen records that a member was seen.
func (a *admission) markSeen(now int64, name string) { a.admitted[name] = now }

// admitDirect reports whether a direct message from a member is accepted. Each member has its own rate limit, so that
// one that floods does not block the messages of others.
func (a *admission) admitDirect(now int64, name string) bool {
	bucket := a.directLimits[name]
	if bucket == nil {
		if len(a.directLimits) >= sendersPerMember*a.maxMembers {
			return false
		}
		bucket = &tokenBucket{tokens: directBurst, refilledAt: now}
		a.directLimits[name] = bucket
	}
	bucket.refill(now, directBurst, directRate)
	return bucket.take()
}

// recordIfNew records a gossip message of an origin's process by its number and reports whether it is new. It returns
// false for an origin without a filter while the maximum number of filters exists; the messages of that origin are then
// dropped and counted as duplicates.
func (a *admission) recordIfNew(origin string, incarnation, number uint64) bool {
	filter := a.duplicateFilters[origin]
	if filter == nil {
		if len(a.duplicateFilters) >= sendersPerMember*a.maxMembers {
			return false
		}
		filter = &duplicateFilter{incarnation: incarnation}
		a.duplicateFilters[origin] = filter
	}
	return filter.recordIfNew(incarnation, number)
}
