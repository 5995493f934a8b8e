package sql

import "strings"

// visitOtherStatement reads a statement that its first word names. single tells that it is alone in its text.
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

// classifyInner reads the statement that a part of this one holds; where the text holds others too it counts as a write.
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

// explainExecutes reports whether EXPLAIN runs what it explains. Any mention of it counts, whatever value it is given.
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

// visitCopy reads COPY: only to the client, of a table or of a query that reads, is it a read.
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
