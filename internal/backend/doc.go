// Package backend is the server side: the connections to nodes, the attempts and health checks that they carry, and what
// came of each. It decides nothing about requests: when an attempt ends it reports an outcome, and package routing says
// what that means.
//
// A Pool, its nodes, connections and queries belong to the engine's goroutine. Only dialling, reading and writing run elsewhere;
// they report back through post.
//
// A query is an attempt or a health check. It waits for a connection, is written, and ends once, with an outcome:
//
//	ConnectFailed         no connection came up in time, or there was no descriptor for one; nothing was written
//	NotSent               it was too late to start, or its node may not be used any more; nothing was written
//	Rejected              the node answered, to the startup or the query, that it is full; nothing ran
//	NotPrimary            the node is not the primary, or its data is too old for the query; nothing ran
//	Answered              a complete row arrived
//	Errored               the node answered with an error; it may have run
//	ConnectionLost        the connection ended, or what came can't be trusted; it may have run
//	TimedOut              a health check had no answer in time
//
// An attempt has no time limit here: the engine cancels it, and then no outcome is reported.
//
// A connection is connecting, then ready (idle, resting or carrying one query), then dropped: it is not used again, but
// holds its descriptor until it is closed. It rests for a moment after each reply and is checked before each query, because
// bytes that a node wrongly sends after an answer must never be taken for the answer to the next query.
package backend
