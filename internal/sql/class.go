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
	SessionDependent bool
}

// Prepared tells the class of a statement prepared under a name.
type PreparedClass func(name string) (Class, bool)

// Classify reads a text of one or more statements; the class is the strongest of theirs. A text that is not understood
// is a write; one that can't be cut into tokens, or lies over the bounds, is refused with an *Error.
func (c *Catalogue) Classify(text string, how StringSyntax, prepared PreparedClass) (Statement, error) {
	r := &classifier{catalogue: c, prepared: prepared}
	return r.result, r.classifyText(text, how)
}

// reader walks a tree and notes what it finds.
type classifier struct {
	catalogue   *Catalogue
	tree        *parse
	prepared    PreparedClass
	result      Statement
	castOperand int32 // first atom within the brackets of the CAST being read
}

func (r *classifier) raiseClass(to Class, why string) {
	if to > r.result.Class {
		r.result.Class, r.result.Reason = to, why
	}
}

func (r *classifier) classifyText(text string, how StringSyntax) error {
	p, err := parseText(text, how)
	if p == nil {
		return err
	}
	r.tree = p
	if err != nil {
		if err.(*Error).Reason != reasonNotUnderstood {
			return err
		}
		if err = p.scanRest(); err != nil { // what follows must be whole too, for a refusal is no matter of the grammar
			return err
		}
		r.raiseClass(Write, "not understood "+strings.TrimSuffix(p.err.Error(), ": "+reasonNotUnderstood))
		return nil
	}
	if p.lex.AmbiguousString {
		r.raiseClass(Write, "where a text ends depends on standard_conforming_strings, which is not known")
	}
	some := 0
	for at := p.all.first; at != 0; at = p.nodes[at].next {
		if p.nodes[at].kind != nNothing {
			some++
		}
	}
	for at := p.all.first; at != 0; at = p.nodes[at].next {
		if p.nodes[at].kind == nOther {
			if err := r.visitOtherStatement(at, some == 1, how); err != nil {
				return err
			}
			continue
		}
		r.visit(at)
	}
	return nil
}

// walk reads a node.
func (r *classifier) visit(at int32) {
	n := &r.tree.nodes[at]
	switch n.kind {
	case nWrite:
		r.raiseClass(Write, "it holds "+strings.ToUpper(r.tree.lex.Text(n.tok)))
		r.visitRow(n.first, nil)
	case nOther:
		r.raiseClass(Write, "it holds "+strings.ToUpper(r.tree.lex.Text(n.tok)))
	case nClause:
		r.visitClause(n)
	case nRow, nBracket:
		r.visitRow(n.first, nil)
	case nAtom:
	default:
		for kid := n.first; kid != 0; kid = r.tree.nodes[kid].next {
			r.visit(kid)
		}
	}
}

func (r *classifier) visitClause(n *node) {
	switch word := fold(r.tree.lex.Text(n.tok)); word {
	case "into":
		r.raiseClass(Write, "SELECT INTO makes a table")
	case "for":
		r.raiseClass(Write, "it locks rows")
	case "from", "table":
		r.visitFrom(n.first)
		return
	case "order", "group":
		if n.first != 0 && r.keywordAt(n.first) == "by" {
			r.visitRow(r.tree.nodes[n.first].next, nil)
			return
		}
	case "with":
		r.visitRow(n.first, func(int) bracketRole { return notCall }) // name (columns) AS (...)
		return
	}
	r.visitRow(n.first, nil)
}

// siblings are a row's nodes.
func (r *classifier) siblings(first int32) (all []int32) {
	for at := first; at != 0; at = r.tree.nodes[at].next {
		all = append(all, at)
	}
	return all
}

// word is an atom's folded word, "" where it is no bare word.
func (r *classifier) keywordAt(at int32) string {
	if n := &r.tree.nodes[at]; n.kind == nAtom && n.tok.Kind == Word {
		return fold(r.tree.lex.Text(n.tok))
	}
	return ""
}

func (r *classifier) isName(at int32) bool {
	n := &r.tree.nodes[at]
	return n.kind == nAtom && (n.tok.Kind == Word || n.tok.Kind == Quoted)
}

// mark tells whether a node is a certain mark.
func (r *classifier) isPunctuation(at int32, text string) bool {
	n := &r.tree.nodes[at]
	return n.kind == nAtom && n.tok.Kind == Punctuation && r.tree.lex.Text(n.tok) == text
}

// path is the name that ends at an index of a row, and where it begins.
func (r *classifier) qualifiedNameBefore(all []int32, end int) (name string, from int) {
	name, from = r.tree.lex.Name(r.tree.nodes[all[end]].tok), end
	for from >= 2 && r.isPunctuation(all[from-1], ".") && r.isName(all[from-2]) {
		from -= 2
		name = r.tree.lex.Name(r.tree.nodes[all[from]].tok) + "." + name
	}
	return name, from
}

// pathFrom is the name that begins at an index of a row.
func (r *classifier) qualifiedNameFrom(all []int32, k int) string {
	for k+2 < len(all) && r.isPunctuation(all[k+1], ".") && r.isName(all[k+2]) {
		k += 2
	}
	name, _ := r.qualifiedNameBefore(all, k)
	return name
}

// relation notes a relation that is read.
func (r *classifier) addRelation(name string) {
	r.result.Tables = append(r.result.Tables, name)
	if r.catalogue.writingRelations[name] {
		r.raiseClass(Write, "the relation "+name+" writes when it is read")
	}
}

// noCall are words that a bracket or a text may follow and that can name no function and no type, by the table of key
// words in appendix C of PostgreSQL's manual. Those that it calls "can be function or type" (CROSS, FULL, LIKE and others)
// stand apart on purpose: what they are hangs on what stands before them.
var nonCallKeywords = func() map[string]bool {
	all := map[string]bool{}
	for _, one := range strings.Fields(`all and any array as asc asymmetric between both case cast collate default desc distinct else end
		except exists false fetch for from group having in intersect into lateral leading limit not null offset on only or order
		placing row select setof some symmetric table then to trailing true union using values variadic when where window with`) {
		all[one] = true
	}
	return all
}()

// place is what a bracket in a row is.
type bracketRole uint8

const (
	possibleCall   bracketRole = iota
	notCall                    // it follows a name without calling it
	alreadyVisited             // its inside has been read
)

// row reads atoms that stand in a row; of tells what the bracket at an index is, where its row knows.
func (r *classifier) visitRow(first int32, of func(k int) bracketRole) {
	all := r.siblings(first)
	for k, at := range all {
		n := &r.tree.nodes[at]
		switch n.kind {
		case nAtom:
			r.visitAtom(all, k)
		case nParen:
			what := possibleCall
			if of != nil {
				what = of(k)
			}
			if k > 0 && r.isName(all[k-1]) && what == possibleCall {
				r.visitCall(all, k)
			}
			if what != alreadyVisited {
				r.visit(n.first)
			}
		default:
			r.visit(at)
		}
	}
}

// atom reads one atom of a row: operators, casts and attributes may call functions too.
func (r *classifier) visitAtom(all []int32, k int) {
	n := &r.tree.nodes[all[k]]
	text := r.tree.lex.Text(n.tok)
	switch n.tok.Kind {
	case Operator, Punctuation:
		if n.tok.Kind == Operator && !builtinOperators[text] {
			r.raiseClass(Write, "the operator "+text+" is not the server's own")
		}
		if text == "::" {
			r.checkType(all, k+1)
		}
	case StringLiteral:
		if k > 0 && r.isName(all[k-1]) && !r.isExpressionKeyword(all, k-1) {
			name, _ := r.qualifiedNameBefore(all, k-1)
			if !r.catalogue.knownType(name) {
				r.raiseClass(Write, "a text as "+name+", a type that is not known")
			}
		}
	case Word, Quoted:
		if k >= 2 && r.isPunctuation(all[k-1], ".") { // t.f may call f(t)
			name := r.tree.lex.Name(n.tok)
			if v, known := r.catalogue.functions[name]; known && v != ReadOnly {
				r.raiseClass(Write, "the attribute "+name+" may call a function")
			}
		}
		if r.castOperand != 0 && r.castOperand == all[0] && r.tree.is(n.tok, "as") {
			r.checkType(all, k+1)
		}
	}
}

// leads tells whether a word before a text is part of an expression, and names no type.
func (r *classifier) isExpressionKeyword(all []int32, k int) bool {
	switch word := r.keywordAt(all[k]); word {
	case "":
		return false
	case "like", "ilike", "escape", "uescape":
		return r.endsOperand(all, k-1, true)
	case "by":
		return r.isClauseBy(all, k)
	case "zone":
		return k > 0 && r.keywordAt(all[k-1]) == "time"
	default:
		return nonCallKeywords[word]
	}
}

// by tells whether the BY at an index of a row within brackets belongs to what stands before it.
func (r *classifier) isClauseBy(all []int32, k int) bool {
	if k == 0 {
		return false
	}
	before := r.keywordAt(all[k-1])
	return before == "partition" || before == "order" || before == "group"
}

// operand tells whether an operand ends at an index of a row, so that LIKE behind it is an operator. A bare word is
// one only where the caller takes it for a column: it may as well be a key word that an expression follows.
func (r *classifier) endsOperand(all []int32, k int, columns bool) bool {
	if k < 0 {
		return false
	}
	if n := &r.tree.nodes[all[k]]; n.kind != nAtom {
		return n.kind == nParen || n.kind == nBracket
	} else if n.tok.Kind != Word {
		return n.tok.Kind != Operator && n.tok.Kind != Punctuation
	}
	word := r.keywordAt(all[k])
	switch {
	case k > 0 && r.isPunctuation(all[k-1], "."):
		return true
	case word == "not":
		return r.endsOperand(all, k-1, columns)
	}
	return columns && !nonCallKeywords[word] && word != "by" && word != "zone" && word != "escape"
}

// typed reads the type that begins at an index.
func (r *classifier) checkType(all []int32, k int) {
	if k >= len(all) || !r.isName(all[k]) {
		r.raiseClass(Write, "a cast to what is no type")
		return
	}
	if name := r.qualifiedNameFrom(all, k); !r.catalogue.knownType(name) {
		r.raiseClass(Write, "a cast to "+name+", a type that is not known")
	}
}

// bracket reads a bracket behind a name: a call, unless what stands before says otherwise.
func (r *classifier) visitCall(all []int32, k int) {
	name, from := r.qualifiedNameBefore(all, k-1)
	word := r.keywordAt(all[k-1])
	inner := &r.tree.nodes[r.tree.nodes[all[k]].first]
	if from == k-1 && word != "" {
		if word == "cast" && inner.kind == nRow {
			r.castOperand = inner.first
		}
		if nonCallKeywords[word] {
			return
		}
		if (word == "like" || word == "ilike") && r.endsOperand(all, k-2, false) {
			return
		}
		if (word == "over" || word == "filter") && k >= 2 && r.tree.nodes[all[k-2]].kind == nParen {
			return
		}
		if word == "by" && r.isClauseBy(all, k-1) {
			return
		}
	}
	if from > 0 {
		switch before := r.keywordAt(all[from-1]); {
		case before == "as": // a list of columns, or a type with its length
			return
		case r.isPunctuation(all[from-1], "::"): // x::numeric(10, 2)
			return
		}
	}
	r.result.Calls = append(r.result.Calls, name)
	switch r.catalogue.functionVolatility(name) {
	case MayWrite:
		r.raiseClass(Write, "the function "+name+" is not known to be harmless")
	case SessionBound:
		r.raiseClass(Session, "the function "+name+" belongs to the session")
	}
}

// from reads what stands behind FROM: relations, queries and functions, each with its alias, and conditions.
func (r *classifier) visitFrom(first int32) {
	all := r.siblings(first)
	expect, on, own := true, false, -1 // a relation is due; a condition is being read; the bracket of a function's call
	places := map[int]bracketRole{}
	for k, at := range all {
		n := &r.tree.nodes[at]
		word := r.keywordAt(at)
		switch {
		case r.isPunctuation(at, ","), word == "join" && !expect:
			expect, on = true, false
		case word == "on" || word == "using":
			on = true
		case word == "only" || word == "lateral" || word == "rows" && k == len(all)-1: // ROWS FROM (...)
		case expect && r.isName(at):
			if k+1 < len(all) && r.isPunctuation(all[k+1], ".") {
				continue // its schema
			}
			expect = false
			if k+1 < len(all) && r.tree.nodes[all[k+1]].kind == nParen {
				own = k + 1
			} else {
				name, _ := r.qualifiedNameBefore(all, k)
				r.addRelation(name)
			}
		case expect && n.kind == nParen:
			expect, places[k] = false, notCall // JOIN (...)
			if inner := &r.tree.nodes[n.first]; inner.kind == nRow {
				r.visitFrom(inner.first)
				places[k] = alreadyVisited
			}
		case !on && n.kind == nParen && k != own: // a list of columns behind an alias
			places[k] = notCall
		}
	}
	r.visitRow(first, func(k int) bracketRole { return places[k] })
}

// other reads a statement that its first word names. single tells that it is alone in its text.
func (r *classifier) visitOtherStatement(at int32, single bool, how StringSyntax) error {
	n := r.tree.nodes[at]
	all := r.siblings(n.first)
	word := func(k int) string {
		if k < len(all) {
			return r.keywordAt(all[k])
		}
		return ""
	}
	switch head := fold(r.tree.lex.Text(n.tok)); head {
	case "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release":
		if word(0) == "prepared" {
			r.raiseClass(Write, "it ends a prepared transaction")
			return nil
		}
		r.raiseClass(Transaction, strings.ToUpper(head))
	case "set":
		if word(0) == "transaction" {
			r.raiseClass(Transaction, "SET TRANSACTION")
			return nil
		}
		r.raiseClass(Session, "SET")
	case "reset", "discard", "listen", "unlisten", "deallocate", "fetch", "move", "close":
		r.raiseClass(Session, strings.ToUpper(head))
	case "show":
	case "declare":
		r.raiseClass(Session, "DECLARE")
		return r.classifyInner(all, single, how, "DECLARE")
	case "prepare":
		if word(0) == "transaction" {
			r.raiseClass(Write, "PREPARE TRANSACTION")
			return nil
		}
		r.raiseClass(Session, "PREPARE") // what it prepares runs with EXECUTE
	case "execute":
		r.raiseClass(Session, "EXECUTE")
		r.result.SessionDependent = true
		if len(all) == 0 || !r.isName(all[0]) {
			r.raiseClass(Write, "EXECUTE of nothing")
			return nil
		}
		name := r.tree.lex.Name(r.tree.nodes[all[0]].tok)
		if r.prepared == nil {
			r.raiseClass(Write, "EXECUTE of "+name+", which is not known")
		} else if class, known := r.prepared(name); !known || class == Write {
			r.raiseClass(Write, "EXECUTE of "+name+", which writes or is not known")
		}
		r.visitRow(n.first, func(int) bracketRole { return notCall })
	case "explain":
		if r.explainExecutes(all) {
			return r.classifyInner(all, single, how, "EXPLAIN ANALYZE")
		}
	case "copy":
		r.visitCopy(all)
	default:
		r.raiseClass(Write, strings.ToUpper(head))
	}
	return nil
}

// part reads the statement that a part of this one holds; where the text holds others too it counts as a write.
func (r *classifier) classifyInner(all []int32, single bool, how StringSyntax, what string) error {
	for _, at := range all {
		n := &r.tree.nodes[at]
		if n.kind != nAtom || n.tok.Kind != Word {
			continue
		}
		switch r.tree.keyword(n.tok) {
		case SELECT, VALUES, TABLE, WITH, INSERT, UPDATE, DELETE, MERGE:
			if !single {
				r.raiseClass(Write, what+" among other statements")
				return nil
			}
			inner := &classifier{catalogue: r.catalogue, prepared: r.prepared}
			if err := inner.classifyText(r.tree.lex.text[n.tok.From:], how); err != nil {
				return err
			}
			r.result.Tables, r.result.Calls, r.result.SessionDependent = inner.result.Tables, inner.result.Calls, r.result.SessionDependent || inner.result.SessionDependent
			r.raiseClass(inner.result.Class, what+": "+inner.result.Reason)
			return nil
		}
	}
	r.raiseClass(Write, what+" of what is not understood")
	return nil
}

// analyzes tells whether EXPLAIN runs what it explains. Any mention of it counts, whatever value it is given.
func (r *classifier) explainExecutes(all []int32) bool {
	for _, at := range all {
		n := &r.tree.nodes[at]
		if n.kind == nParen {
			for kid := r.tree.nodes[n.first].first; kid != 0; kid = r.tree.nodes[kid].next {
				if w := r.keywordAt(kid); w == "analyze" || w == "analyse" {
					return true
				}
			}
			return false
		}
		switch r.keywordAt(at) {
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
func (r *classifier) visitCopy(all []int32) {
	for k, at := range all {
		if r.keywordAt(at) == "to" && k > 0 && k+1 < len(all) && r.keywordAt(all[k+1]) == "stdout" {
			if first := &r.tree.nodes[all[0]]; first.kind == nParen {
				r.visit(first.first)
			} else if r.isName(all[0]) {
				r.addRelation(r.qualifiedNameFrom(all, 0))
			}
			return
		}
	}
	r.raiseClass(Write, "COPY to or from elsewhere than the client")
}
