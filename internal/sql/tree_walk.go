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

// isPunctuation reports whether a node is a certain mark.
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

// fromList is where the reading of a FROM clause stands.
type fromList struct {
	siblings         []int32
	relationExpected bool // the next name or bracket is a relation
	inCondition      bool // behind ON or USING
	callBracket      int  // index of the bracket of a function's call, -1 for none
	roles            map[int]bracketRole
}

// visitFrom reads what follows FROM: relations, queries and functions, each with its alias, and conditions.
func (r *classifier) visitFrom(first int32) {
	list := &fromList{siblings: r.siblings(first), relationExpected: true, callBracket: -1, roles: map[int]bracketRole{}}
	for k := range list.siblings {
		r.visitFromItem(list, k)
	}
	r.visitRow(first, func(k int) bracketRole { return list.roles[k] })
}

// visitFromItem reads one item of a FROM clause.
func (r *classifier) visitFromItem(list *fromList, k int) {
	at := list.siblings[k]
	isBracket := r.tree.nodes[at].kind == nParen
	word := r.keywordAt(at)
	switch {
	case r.isPunctuation(at, ","), word == "join" && !list.relationExpected:
		list.relationExpected = true
		list.inCondition = false
	case word == "on" || word == "using":
		list.inCondition = true
	case word == "only" || word == "lateral" || word == "rows" && k == len(list.siblings)-1: // ROWS FROM (...)
	case list.relationExpected && r.isName(at):
		r.visitRelationName(list, k)
	case list.relationExpected && isBracket:
		r.visitRelationBracket(list, k)
	case !list.inCondition && isBracket && k != list.callBracket: // a list of columns after an alias
		list.roles[k] = notCall
	}
}

// visitRelationName reads a name where a relation is expected: its schema, a function that is called, or a relation.
func (r *classifier) visitRelationName(list *fromList, k int) {
	hasNext := k+1 < len(list.siblings)
	if hasNext && r.isPunctuation(list.siblings[k+1], ".") {
		return // a schema: the relation's name follows
	}
	list.relationExpected = false
	if hasNext && r.tree.nodes[list.siblings[k+1]].kind == nParen {
		list.callBracket = k + 1
		return
	}
	name, _ := r.qualifiedNameBefore(list.siblings, k)
	r.addRelation(name)
}

// visitRelationBracket reads a bracket where a relation is expected: a query, or joined relations.
func (r *classifier) visitRelationBracket(list *fromList, k int) {
	list.relationExpected = false
	list.roles[k] = notCall
	inner := &r.tree.nodes[r.tree.nodes[list.siblings[k]].first]
	if inner.kind == nRow {
		r.visitFrom(inner.first)
		list.roles[k] = alreadyVisited
	}
}
