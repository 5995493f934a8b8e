// Package pgwire decodes and encodes the subset of PostgreSQL's wire protocol, version 3, that the router uses with
// clients and nodes. It does no I/O: it converts between bytes and typed values.
//
// On a client's connection, a startup message (possibly after a request for encryption) and its response are followed
// by queries, each with one answer that ends in ReadyForQuery. On a node's connection the router is the client:
// AppendStartup and a StartupReply, then AppendQuery and a Reply for each query.
package pgwire
