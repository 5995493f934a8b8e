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

// String names the class as the command line prints it.
func (c Class) String() string { return [...]string{"read", "transaction", "session", "write"}[c] }

// Statement is what was read of a text.
type Statement struct {
	Class  Class
	Reason string // why it is no read
	Tables []string
	Calls  []string
	// SessionDependent is set if the class depends on what the session has prepared, and not on the text alone. Such a
	// statement isn't cached.
	SessionDependent bool
}

// PreparedClass returns the class of the statement that was prepared under a name, false where none is known.
type PreparedClass func(name string) (Class, bool)

// Classify reads a text of one or more statements; the class is the strongest of theirs. A text that is not understood
// is a write; one that can't be cut into tokens, or lies over the bounds, is refused with an *Error.
func (c *Catalogue) Classify(text string, how StringSyntax, prepared PreparedClass) (Statement, error) {
	r := &classifier{catalogue: c, prepared: prepared}
	return r.result, r.classifyText(text, how)
}

// classifier walks a statement's tree and raises the class with each thing it finds.
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
