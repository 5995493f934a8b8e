// Package adminsocket connects an operator's commands to a running router on the same machine, with lines of JSON over
// a Unix socket that only its owner may open. It transports requests; handlers registered by other packages process
// them.
//
// A request is one line. The answer consists of the lines that the router sends until it closes the connection; the
// last one is a Refusal if the request was refused. The operator's side may send further lines during a long request.
//
// server.go is the router's side, client.go the operator's side, and protocol.go defines the lines.
package adminsocket
