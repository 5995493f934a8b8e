// Package pgwire parses and encodes version 3 of PostgreSQL's wire protocol, as far as a router speaks it to clients and
// to nodes. It knows no sockets: bytes go in, small typed values come out, and the other way round.
//
// The order on a client's connection: a startup (maybe after a request for encryption), the welcome, then queries, each
// with one answer that ends in ReadyForQuery. On a node's connection the router is the client: AppendStartup, a
// StartupReply, then AppendQuery and a Reply in turn.
package pgwire
