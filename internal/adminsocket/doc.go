// Package adminsocket lets an operator's commands speak with a running router on the same machine: lines of JSON over a
// Unix socket that only its owner may open. It carries requests and decides nothing about them.
//
// A request is one line. The answer is lines until the router closes the connection; the last one is a Refusal if the
// request was refused. A request that runs for long may be followed by further lines.
//
// server.go is the router's side, client.go the operator's, protocol.go the form of the lines.
package adminsocket
