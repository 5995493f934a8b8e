package sql

import "strings"

// visit reads a node.
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

// keywordAt is an atom's folded word, "" where it is no bare word.
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

// isPunctuation tells whether a node is a certain mark.
func (r *classifier) isPunctuation(at int32, text string) bool {
	n := &r.tree.nodes[at]
	return n.kind == nAtom && n.tok.Kind == Punctuation && r.tree.lex.Text(n.tok) == text
}

// qualifiedNameBefore is the name that ends at an index of a row, and where it begins.
func (r *classifier) qualifiedNameBefore(all []int32, end int) (name string, from int) {
	name, from = r.tree.lex.Name(r.tree.nodes[all[end]].tok), end
	for from >= 2 && r.isPunctuation(all[from-1], ".") && r.isName(all[from-2]) {
		from -= 2
		name = r.tree.lex.Name(r.tree.nodes[all[from]].tok) + "." + name
	}
	return name, from
}

// qualifiedNameFrom is the name that begins at an index of a row.
func (r *classifier) qualifiedNameFrom(all []int32, k int) string {
	for k+2 < len(all) && r.isPunctuation(all[k+1], ".") && r.isName(all[k+2]) {
		k += 2
	}
	name, _ := r.qualifiedNameBefore(all, k)
	return name
}

// addRelation notes a relation that is read.
func (r *classifier) addRelation(name string) {
	r.result.Tables = append(r.result.Tables, name)
	if r.catalogue.writingRelations[name] {
		r.raiseClass(Write, "the relation "+name+" writes when it is read")
	}
}

// visitFrom reads what stands behind FROM: relations, queries and functions, each with its alias, and conditions.
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
