// Package sql classifies SQL statements for routing: as reads, as writes, as transaction control, or as bound to their
// session. It does no I/O. No running router uses it yet; only `cairntiller classify` does.
//
// A text is split into tokens by PostgreSQL's lexical rules (manual, section 4.1; lex.go), parsed down to clauses and
// parentheses (grammar.y, parse.go), and its tree is searched for anything that may write: functions, types, operators
// and relations that are not known to be harmless (classify.go, catalogue.go). A statement that the parser doesn't
// understand counts as a write, because a write that is mistaken for a read runs on a replica. Statements of the same
// shape, which differ in their literals alone, have the same class, which a cache keeps (shape.go).
//
// A text that can't be split into tokens or exceeds a limit is rejected with an *Error. Rejecting it takes time and
// memory at most linear in its length.
package sql
