// Package backend is the server side of the router: it manages the connections to nodes, sends attempts and health
// checks on them, and reports the outcome of each. It makes no decisions about requests: package routing interprets the
// outcomes.
//
// A Pool, its nodes, connections and queries may only be used on the engine's goroutine. Only dialing, reading and
// writing run on other goroutines, which report back through post.
//
// A query is an attempt or a health check. It waits for a connection, is written, and ends exactly once, with an
// outcome:
//
//	ConnectFailed         no connection was established in time, or no descriptor was left; nothing was written
//	NotSent               it was too late to start, or its node may no longer be used; nothing was written
//	Rejected              the node replied to the startup or the query that it is full; nothing ran
//	NotPrimary            the node is not the primary, or its data is too old for the query; nothing ran
//	Answered              a complete row was received
//	Errored               the node replied with an error; the query may have run
//	ConnectionLost        the connection ended, or the reply was invalid; the query may have run
//	TimedOut              a health check got no reply in time
//
// The pool sets no time limit on attempts: the engine cancels them, and then no outcome is reported.
//
// A connection is connecting, then ready (idle, in its quiet period, or carrying one query), then dropped: it is not
// used again, but holds its descriptor until it is closed. It is left unused for a quiet period after each reply and
// checked before each query, because bytes that a faulty node sends after a reply must never be mistaken for the next
// reply.
package backend
