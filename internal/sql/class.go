package sql

import "strings"

// Class is what a statement may do, as far as it decides where it can run.
type Class uint8

// The classes, each stronger than the one before it. What is not proven to be weaker is a write.
const (
	Read        Class = iota
	Transaction       // BEGIN, COMMIT and the like
	Session           // it changes the session, or depends on what the session did
	Write
)

func (c Class) String() string { return [...]string{"read", "transaction", "session", "write"}[c] }

// Statement is what was read of a text.
type Statement struct {
	Class  Class
	Reason string // why it is no read
	Tables []string
	Calls  []string
	// Fleeting tells that the class goes by what the session has prepared, and not by the text alone.
	Fleeting bool
}

// Prepared tells the class of a statement prepared under a name.
type Prepared func(name string) (Class, bool)

// Classify reads a text of one or more statements; the class is the strongest of theirs. A text that is not understood
// is a write; one that can't be cut into tokens, or lies over the bounds, is refused with an *Error.
func (c *Catalogue) Classify(text string, how Strings, prepared Prepared) (Statement, error) {
	r := &reader{c: c, prepared: prepared}
	return r.out, r.text(text, how)
}

// reader walks a tree and notes what it finds.
type reader struct {
	c        *Catalogue
	p        *parse
	prepared Prepared
	out      Statement
	cast     int32 // first atom within the brackets of the CAST being read
}

func (r *reader) raise(to Class, why string) {
	if to > r.out.Class {
		r.out.Class, r.out.Reason = to, why
	}
}

func (r *reader) text(text string, how Strings) error {
	p, err := parsed(text, how)
	if p == nil {
		return err
	}
	r.p = p
	if err != nil {
		if err.(*Error).Why != notUnderstood {
			return err
		}
		if err = p.rest(); err != nil { // what follows must be whole too, for a refusal is no matter of the grammar
			return err
		}
		r.raise(Write, "not understood "+strings.TrimSuffix(p.err.Error(), ": "+notUnderstood))
		return nil
	}
	if p.lex.Doubtful {
		r.raise(Write, "where a text ends depends on standard_conforming_strings, which is not known")
	}
	some := 0
	for at := p.all.first; at != 0; at = p.nodes[at].next {
		if p.nodes[at].kind != nNothing {
			some++
		}
	}
	for at := p.all.first; at != 0; at = p.nodes[at].next {
		if p.nodes[at].kind == nOther {
			if err := r.other(at, some == 1, how); err != nil {
				return err
			}
			continue
		}
		r.walk(at)
	}
	return nil
}

// walk reads a node.
func (r *reader) walk(at int32) {
	n := &r.p.nodes[at]
	switch n.kind {
	case nWrite:
		r.raise(Write, "it holds "+strings.ToUpper(r.p.lex.Text(n.tok)))
		r.row(n.first, nil)
	case nOther:
		r.raise(Write, "it holds "+strings.ToUpper(r.p.lex.Text(n.tok)))
	case nClause:
		r.clause(n)
	case nRow, nBracket:
		r.row(n.first, nil)
	case nAtom:
	default:
		for kid := n.first; kid != 0; kid = r.p.nodes[kid].next {
			r.walk(kid)
		}
	}
}

func (r *reader) clause(n *node) {
	switch word := fold(r.p.lex.Text(n.tok)); word {
	case "into":
		r.raise(Write, "SELECT INTO makes a table")
	case "for":
		r.raise(Write, "it locks rows")
	case "from", "table":
		r.from(n.first)
		return
	case "order", "group":
		if n.first != 0 && r.word(n.first) == "by" {
			r.row(r.p.nodes[n.first].next, nil)
			return
		}
	case "with":
		r.row(n.first, func(int) place { return behindName }) // name (columns) AS (...)
		return
	}
	r.row(n.first, nil)
}

// siblings are a row's nodes.
func (r *reader) siblings(first int32) (all []int32) {
	for at := first; at != 0; at = r.p.nodes[at].next {
		all = append(all, at)
	}
	return all
}

// word is an atom's folded word, "" where it is no bare word.
func (r *reader) word(at int32) string {
	if n := &r.p.nodes[at]; n.kind == nAtom && n.tok.Kind == Word {
		return fold(r.p.lex.Text(n.tok))
	}
	return ""
}

func (r *reader) named(at int32) bool {
	n := &r.p.nodes[at]
	return n.kind == nAtom && (n.tok.Kind == Word || n.tok.Kind == Quoted)
}

// mark tells whether a node is a certain mark.
func (r *reader) mark(at int32, text string) bool {
	n := &r.p.nodes[at]
	return n.kind == nAtom && n.tok.Kind == Mark && r.p.lex.Text(n.tok) == text
}

// path is the name that ends at an index of a row, and where it begins.
func (r *reader) path(all []int32, end int) (name string, from int) {
	name, from = r.p.lex.Name(r.p.nodes[all[end]].tok), end
	for from >= 2 && r.mark(all[from-1], ".") && r.named(all[from-2]) {
		from -= 2
		name = r.p.lex.Name(r.p.nodes[all[from]].tok) + "." + name
	}
	return name, from
}

// pathFrom is the name that begins at an index of a row.
func (r *reader) pathFrom(all []int32, k int) string {
	for k+2 < len(all) && r.mark(all[k+1], ".") && r.named(all[k+2]) {
		k += 2
	}
	name, _ := r.path(all, k)
	return name
}

// relation notes a relation that is read.
func (r *reader) relation(name string) {
	r.out.Tables = append(r.out.Tables, name)
	if r.c.writers[name] {
		r.raise(Write, "the relation "+name+" writes when it is read")
	}
}

// noCall are words that a bracket or a text may follow and that can name no function and no type, by the table of key
// words in appendix C of PostgreSQL's manual. Those that it calls "can be function or type" (CROSS, FULL, LIKE and others)
// stand apart on purpose: what they are hangs on what stands before them.
var noCall = func() map[string]bool {
	all := map[string]bool{}
	for _, one := range strings.Fields(`all and any array as asc asymmetric between both case cast collate default desc distinct else end
		except exists false fetch for from group having in intersect into lateral leading limit not null offset on only or order
		placing row select setof some symmetric table then to trailing true union using values variadic when where window with`) {
		all[one] = true
	}
	return all
}()

// place is what a bracket in a row is.
type place uint8

const (
	anywhere   place = iota
	behindName       // it follows a name without calling it
	readBefore       // its inside has been read
)

// row reads atoms that stand in a row; of tells what the bracket at an index is, where its row knows.
func (r *reader) row(first int32, of func(k int) place) {
	all := r.siblings(first)
	for k, at := range all {
		n := &r.p.nodes[at]
		switch n.kind {
		case nAtom:
			r.atom(all, k)
		case nParen:
			what := anywhere
			if of != nil {
				what = of(k)
			}
			if k > 0 && r.named(all[k-1]) && what == anywhere {
				r.bracket(all, k)
			}
			if what != readBefore {
				r.walk(n.first)
			}
		default:
			r.walk(at)
		}
	}
}

// atom reads one atom of a row: operators, casts and attributes may call functions too.
func (r *reader) atom(all []int32, k int) {
	n := &r.p.nodes[all[k]]
	text := r.p.lex.Text(n.tok)
	switch n.tok.Kind {
	case Operator, Mark:
		if n.tok.Kind == Operator && !operators[text] {
			r.raise(Write, "the operator "+text+" is not the server's own")
		}
		if text == "::" {
			r.typed(all, k+1)
		}
	case Text:
		if k > 0 && r.named(all[k-1]) && !r.leads(all, k-1) {
			name, _ := r.path(all, k-1)
			if !r.c.knownType(name) {
				r.raise(Write, "a text as "+name+", a type that is not known")
			}
		}
	case Word, Quoted:
		if k >= 2 && r.mark(all[k-1], ".") { // t.f may call f(t)
			name := r.p.lex.Name(n.tok)
			if v, known := r.c.functions[name]; known && v != Harmless {
				r.raise(Write, "the attribute "+name+" may call a function")
			}
		}
		if r.cast != 0 && r.cast == all[0] && r.p.is(n.tok, "as") {
			r.typed(all, k+1)
		}
	}
}

// leads tells whether a word before a text is part of an expression, and names no type.
func (r *reader) leads(all []int32, k int) bool {
	switch word := r.word(all[k]); word {
	case "":
		return false
	case "like", "ilike", "escape", "uescape":
		return r.operand(all, k-1, true)
	case "by":
		return r.by(all, k)
	case "zone":
		return k > 0 && r.word(all[k-1]) == "time"
	default:
		return noCall[word]
	}
}

// by tells whether the BY at an index of a row within brackets belongs to what stands before it.
func (r *reader) by(all []int32, k int) bool {
	if k == 0 {
		return false
	}
	before := r.word(all[k-1])
	return before == "partition" || before == "order" || before == "group"
}

// operand tells whether an operand ends at an index of a row, so that LIKE behind it is an operator. A bare word is
// one only where the caller takes it for a column: it may as well be a key word that an expression follows.
func (r *reader) operand(all []int32, k int, columns bool) bool {
	if k < 0 {
		return false
	}
	if n := &r.p.nodes[all[k]]; n.kind != nAtom {
		return n.kind == nParen || n.kind == nBracket
	} else if n.tok.Kind != Word {
		return n.tok.Kind != Operator && n.tok.Kind != Mark
	}
	word := r.word(all[k])
	switch {
	case k > 0 && r.mark(all[k-1], "."):
		return true
	case word == "not":
		return r.operand(all, k-1, columns)
	}
	return columns && !noCall[word] && word != "by" && word != "zone" && word != "escape"
}

// typed reads the type that begins at an index.
func (r *reader) typed(all []int32, k int) {
	if k >= len(all) || !r.named(all[k]) {
		r.raise(Write, "a cast to what is no type")
		return
	}
	if name := r.pathFrom(all, k); !r.c.knownType(name) {
		r.raise(Write, "a cast to "+name+", a type that is not known")
	}
}

// bracket reads a bracket behind a name: a call, unless what stands before says otherwise.
func (r *reader) bracket(all []int32, k int) {
	name, from := r.path(all, k-1)
	word := r.word(all[k-1])
	inner := &r.p.nodes[r.p.nodes[all[k]].first]
	if from == k-1 && word != "" {
		if word == "cast" && inner.kind == nRow {
			r.cast = inner.first
		}
		if noCall[word] {
			return
		}
		if (word == "like" || word == "ilike") && r.operand(all, k-2, false) {
			return
		}
		if (word == "over" || word == "filter") && k >= 2 && r.p.nodes[all[k-2]].kind == nParen {
			return
		}
		if word == "by" && r.by(all, k-1) {
			return
		}
	}
	if from > 0 {
		switch before := r.word(all[from-1]); {
		case before == "as": // a list of columns, or a type with its length
			return
		case r.mark(all[from-1], "::"): // x::numeric(10, 2)
			return
		}
	}
	r.out.Calls = append(r.out.Calls, name)
	switch r.c.call(name) {
	case Writes:
		r.raise(Write, "the function "+name+" is not known to be harmless")
	case Bound:
		r.raise(Session, "the function "+name+" belongs to the session")
	}
}

// from reads what stands behind FROM: relations, queries and functions, each with its alias, and conditions.
func (r *reader) from(first int32) {
	all := r.siblings(first)
	expect, on, own := true, false, -1 // a relation is due; a condition is being read; the bracket of a function's call
	places := map[int]place{}
	for k, at := range all {
		n := &r.p.nodes[at]
		word := r.word(at)
		switch {
		case r.mark(at, ","), word == "join" && !expect:
			expect, on = true, false
		case word == "on" || word == "using":
			on = true
		case word == "only" || word == "lateral" || word == "rows" && k == len(all)-1: // ROWS FROM (...)
		case expect && r.named(at):
			if k+1 < len(all) && r.mark(all[k+1], ".") {
				continue // its schema
			}
			expect = false
			if k+1 < len(all) && r.p.nodes[all[k+1]].kind == nParen {
				own = k + 1
			} else {
				name, _ := r.path(all, k)
				r.relation(name)
			}
		case expect && n.kind == nParen:
			expect, places[k] = false, behindName // JOIN (...)
			if inner := &r.p.nodes[n.first]; inner.kind == nRow {
				r.from(inner.first)
				places[k] = readBefore
			}
		case !on && n.kind == nParen && k != own: // a list of columns behind an alias
			places[k] = behindName
		}
	}
	r.row(first, func(k int) place { return places[k] })
}

// other reads a statement that its first word names. single tells that it is alone in its text.
func (r *reader) other(at int32, single bool, how Strings) error {
	n := r.p.nodes[at]
	all := r.siblings(n.first)
	word := func(k int) string {
		if k < len(all) {
			return r.word(all[k])
		}
		return ""
	}
	switch head := fold(r.p.lex.Text(n.tok)); head {
	case "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release":
		if word(0) == "prepared" {
			r.raise(Write, "it ends a prepared transaction")
			return nil
		}
		r.raise(Transaction, strings.ToUpper(head))
	case "set":
		if word(0) == "transaction" {
			r.raise(Transaction, "SET TRANSACTION")
			return nil
		}
		r.raise(Session, "SET")
	case "reset", "discard", "listen", "unlisten", "deallocate", "fetch", "move", "close":
		r.raise(Session, strings.ToUpper(head))
	case "show":
	case "declare":
		r.raise(Session, "DECLARE")
		return r.part(all, single, how, "DECLARE")
	case "prepare":
		if word(0) == "transaction" {
			r.raise(Write, "PREPARE TRANSACTION")
			return nil
		}
		r.raise(Session, "PREPARE") // what it prepares runs with EXECUTE
	case "execute":
		r.raise(Session, "EXECUTE")
		r.out.Fleeting = true
		if len(all) == 0 || !r.named(all[0]) {
			r.raise(Write, "EXECUTE of nothing")
			return nil
		}
		name := r.p.lex.Name(r.p.nodes[all[0]].tok)
		if r.prepared == nil {
			r.raise(Write, "EXECUTE of "+name+", which is not known")
		} else if class, known := r.prepared(name); !known || class == Write {
			r.raise(Write, "EXECUTE of "+name+", which writes or is not known")
		}
		r.row(n.first, func(int) place { return behindName })
	case "explain":
		if r.analyzes(all) {
			return r.part(all, single, how, "EXPLAIN ANALYZE")
		}
	case "copy":
		r.copy(all)
	default:
		r.raise(Write, strings.ToUpper(head))
	}
	return nil
}

// part reads the statement that a part of this one holds; where the text holds others too it counts as a write.
func (r *reader) part(all []int32, single bool, how Strings, what string) error {
	for _, at := range all {
		n := &r.p.nodes[at]
		if n.kind != nAtom || n.tok.Kind != Word {
			continue
		}
		switch r.p.keyword(n.tok) {
		case SELECT, VALUES, TABLE, WITH, INSERT, UPDATE, DELETE, MERGE:
			if !single {
				r.raise(Write, what+" among other statements")
				return nil
			}
			inner := &reader{c: r.c, prepared: r.prepared}
			if err := inner.text(r.p.lex.text[n.tok.From:], how); err != nil {
				return err
			}
			r.out.Tables, r.out.Calls, r.out.Fleeting = inner.out.Tables, inner.out.Calls, r.out.Fleeting || inner.out.Fleeting
			r.raise(inner.out.Class, what+": "+inner.out.Reason)
			return nil
		}
	}
	r.raise(Write, what+" of what is not understood")
	return nil
}

// analyzes tells whether EXPLAIN runs what it explains. Any mention of it counts, whatever value it is given.
func (r *reader) analyzes(all []int32) bool {
	for _, at := range all {
		n := &r.p.nodes[at]
		if n.kind == nParen {
			for kid := r.p.nodes[n.first].first; kid != 0; kid = r.p.nodes[kid].next {
				if w := r.word(kid); w == "analyze" || w == "analyse" {
					return true
				}
			}
			return false
		}
		switch r.word(at) {
		case "analyze", "analyse":
			return true
		case "verbose":
		default:
			return false
		}
	}
	return false
}

// copy reads COPY: only to the client, of a table or of a query that reads, is it a read.
func (r *reader) copy(all []int32) {
	for k, at := range all {
		if r.word(at) == "to" && k > 0 && k+1 < len(all) && r.word(all[k+1]) == "stdout" {
			if first := &r.p.nodes[all[0]]; first.kind == nParen {
				r.walk(first.first)
			} else if r.named(all[0]) {
				r.relation(r.pathFrom(all, 0))
			}
			return
		}
	}
	r.raise(Write, "COPY to or from elsewhere than the client")
}
