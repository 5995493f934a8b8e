// Package sql classifies statements as far as routing needs it: whether a statement reads, writes, belongs to a transaction or
// to its session. It does no I/O. No running router uses it yet; `cairntiller classify` does.
//
// A text is cut into tokens by PostgreSQL's published lexical rules (manual, chapter 4.1; lex.go), parsed as far as clauses and
// brackets (grammar.y, parse.go), and walked for whatever may write: functions, types, operators and relations that are not
// known to be harmless (classify.go, catalogue.go). What is not understood counts as a write, because a write that is taken for
// a read runs on a replica. Statements of one shape, that is alike but for their literals, have one class, which a cache keeps
// (shape.go).
//
// A text that can't be cut into tokens or lies over a limit is refused with an *Error, in time and memory that grow with the
// text at most.
package sql
