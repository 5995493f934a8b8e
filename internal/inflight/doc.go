// Package inflight tracks requests between the clients and the nodes: the attempts of each request and its single final
// answer. It is the only interface between the client side (package frontend) and the server side (package backend). It
// makes no routing decisions. A Request and its Attempts may only be used on the engine's goroutine.
//
// A request is open until it is concluded, exactly once, by the first of
//
//	Answer      a node's value was sent to the client
//	Reject      repeating the command is harmless; the client was told when to retry
//	Fail        the command may have run, and a repeat could do harm; the client only learns that it failed
//	ClientGone  the client has disconnected or cancelled, and gets no answer
//
// An attempt is started and then ends: either with the outcome reported for its node or connection, or because the
// router abandoned it. Attempts may end after their request is concluded; an answer that arrives then is counted and
// dropped.
package inflight
