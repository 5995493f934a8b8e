package sql

import "strings"

// nonCallKeywords are words that a bracket or a text may follow and that can name no function and no type, by the table of key
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

// bracketRole is what a bracket in a row is.
type bracketRole uint8

const (
	possibleCall   bracketRole = iota
	notCall                    // it follows a name without calling it
	alreadyVisited             // its inside has been read
)

// visitRow reads atoms that stand in a row; of tells what the bracket at an index is, where its row knows.
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

// visitAtom reads one atom of a row: operators, casts and attributes may call functions too.
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

// isExpressionKeyword reports whether a word before a text is part of an expression, and names no type.
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

// isClauseBy reports whether the BY at an index of a row within brackets belongs to what stands before it.
func (r *classifier) isClauseBy(all []int32, k int) bool {
	if k == 0 {
		return false
	}
	before := r.keywordAt(all[k-1])
	return before == "partition" || before == "order" || before == "group"
}

// endsOperand reports whether an operand ends at an index of a row, so that LIKE behind it is an operator. A bare word is
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

// checkType reads the type that begins at an index.
func (r *classifier) checkType(all []int32, k int) {
	if k >= len(all) || !r.isName(all[k]) {
		r.raiseClass(Write, "a cast to what is no type")
		return
	}
	if name := r.qualifiedNameFrom(all, k); !r.catalogue.knownType(name) {
		r.raiseClass(Write, "a cast to "+name+", a type that is not known")
	}
}

// visitCall reads a bracket behind a name: a call, unless what stands before says otherwise.
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
