package routing

import "github.com/cespare/xxhash/v2"

// Repeated ids: every request has an id of its own. If a client sends a request again under the same id, for example
// after it has closed its connection without reading the answer, and the first one may have been executed, it is failed:
// executing it again could do harm.

// maxExecutedIDs is the number of ids remembered in each of two generations, about 2 MiB in all.
const maxExecutedIDs = 1 << 16

// executedIDs remembers, by a hash, the ids of the latest requests that may have been executed and must not be executed
// again. A restart forgets them.
type executedIDs struct{ recent, older map[uint64]struct{} }

func (e *executedIDs) add(id string) {
	if e.recent == nil || len(e.recent) >= maxExecutedIDs {
		e.older = e.recent
		e.recent = make(map[uint64]struct{})
	}
	e.recent[xxhash.Sum64String(id)] = struct{}{}
}

func (e *executedIDs) contains(id string) bool {
	hash := xxhash.Sum64String(id)
	_, recent := e.recent[hash]
	_, older := e.older[hash]
	return recent || older
}

// recordExecution remembers a request one of whose attempts has ended, if it may have been executed by it.
func (r *Router) recordExecution(req *request, outcome Outcome) {
	if !outcome.NotExecuted() && req.group.Idempotency != Idempotent {
		r.executedIDs.add(req.id)
	}
}

// repeatsExecuted reports whether a request has the id of one that may have been executed and must not be repeated.
func (r *Router) repeatsExecuted(arrived Request) bool {
	return r.groups[arrived.Group].Idempotency != Idempotent && r.executedIDs.contains(arrived.ID)
}
