// Package backend is the server side: the connections to nodes, the attempts and health checks that they carry, and what
// came of each. It decides nothing about requests: when an attempt ends it reports an outcome, and package routing says
// what that means.
//
// A Pool and all that hangs from it belong to the engine's goroutine. Only dialling, reading and writing run elsewhere;
// they report back through post.
//
// A query is an attempt or a health check. It waits for a connection, is written, and ends once, with an outcome:
//
//	ConnectFailed         no connection came up in time, or there was no descriptor for one; nothing was written
//	NotSent               it was too late to start, or its node may not be used any more; nothing was written
//	Rejected, NotPrimary  the node answered that nothing ran
//	Answered              a whole row came
//	Errored               the node answered with an error; it may have run
//	ConnectionLost        the connection ended, or what came can't be trusted; it may have run
//	TimedOut              a health check had no answer in time
//
// A connection is connecting, then ready (idle, or with one query), then dropped: no use any more, though it holds its
// descriptor until it is closed. It rests for a moment behind each reply, and is looked at before each query: what a node
// wrongly sends behind an answer must never pass for the answer of the next query.
package backend
