// Package inflight holds one request between its client and the nodes: its attempts and its one final answer. Client
// side and server side meet only here. It carries and decides nothing; a Request and its Attempts belong to the engine's
// goroutine.
//
// A request is open until it is concluded, once and for good, by the first of
//
//	Answer      a node's value went to the client
//	Reject      sending it again is harmless; the client was told when to
//	Fail        it may have run, and a repeat could do harm; the client was told no more than that
//	ClientGone  the client has left or cancelled, and is told nothing
//
// An attempt is started, then either ends with the outcome that its node or its connection gave, or is abandoned by the
// router and ends as that. Attempts may end after their request is concluded: an answer that comes then is counted and
// dropped.
package inflight
