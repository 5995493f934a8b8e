package sexp

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/alecthomas/participle/v2/lexer"
)

// suggestionThreshold is the minimum similarity between an unknown name and the known name that is suggested for it.
// A typing error of one or two letters stays above it.
const suggestionThreshold = 0.6

// Part is a list whose values are looked up by name.
type Part struct {
	file      *File
	position  lexer.Position
	name      string
	items     []*node // the elements after the name
	requested map[string]bool
	subparts  []*Part
	present   bool
}

// Present reports whether the file contains the part.
func (p *Part) Present() bool { return p.present }

// checkNamedList records an error if a node is not a list that begins with a name.
func (p *Part) checkNamedList(n *node) {
	switch {
	case n.List == nil:
		p.file.addError(n.Pos, n.String(), "a list such as (name value)")
	case n.listName() == nil:
		p.file.addError(n.Pos, "a list that does not begin with a name", "a list such as (name value)")
	}
}

// lookup returns the list with a name among the part's items, and the elements after its name. A second list with the
// same name is an error.
func (p *Part) lookup(name string) (found *node, values []*node) {
	p.requested[name] = true
	for _, item := range p.items {
		first := item.listName()
		if first == nil || *first.Word != name {
			continue
		}
		if found != nil {
			p.file.addError(item.Pos, "a second "+strconv.Quote(name), fmt.Sprint("only one, as in line ", found.Pos.Line))
			continue
		}
		found = item
		values = item.List.Items[1:]
	}
	return found, values
}

// Part returns the nested part with a name. If there is none, every value in the returned part has its default.
func (p *Part) Part(name string) *Part {
	sub := &Part{file: p.file, position: p.position, name: name, requested: map[string]bool{}}
	if found, values := p.lookup(name); found != nil {
		sub.position = found.Pos
		sub.items = values
		sub.present = true
		for _, item := range values {
			sub.checkNamedList(item)
		}
	}
	p.subparts = append(p.subparts, sub)
	return sub
}

// AcceptAllNames marks every name in the part as known, for a caller that does not read the part's values.
func (p *Part) AcceptAllNames() {
	for _, item := range p.items {
		if first := item.listName(); first != nil {
			p.requested[*first.Word] = true
		}
	}
}

// AddError records an error found by the package that owns the part. Its location is the first value of name, the
// name itself if it has no values, or the part if it does not contain the name.
func (p *Part) AddError(name, found, want string) {
	list, values := p.lookup(name)
	switch {
	case list == nil:
		p.file.addError(p.position, found, want)
	case len(values) > 0:
		p.file.addError(values[0].Pos, found, want)
	default:
		p.file.addError(list.Pos, found, want)
	}
}

// reportUnknownNames records an error for each name that has not been looked up, in this part and in nested parts.
func (p *Part) reportUnknownNames() {
	for _, item := range p.items {
		first := item.listName()
		if first == nil || p.requested[*first.Word] {
			continue
		}
		name := *first.Word
		p.file.addError(first.Pos, "the unknown name "+strconv.Quote(name), suggestName(name, p.requested))
	}
	for _, sub := range p.subparts {
		sub.reportUnknownNames()
	}
}

// suggestName returns the known name most similar to an unknown one, or a list of all known names if none is similar
// enough.
func suggestName(name string, known map[string]bool) string {
	suggestion := ""
	bestSimilarity := 0.0
	var names []string
	for candidate := range known {
		names = append(names, candidate)
		similarity := levenshtein.Match(name, candidate, nil)
		if similarity > bestSimilarity || similarity == bestSimilarity && candidate < suggestion {
			suggestion = candidate
			bestSimilarity = similarity
		}
	}
	if bestSimilarity >= suggestionThreshold {
		return strconv.Quote(suggestion)
	}
	if len(names) == 0 {
		return "no names here"
	}
	slices.Sort(names)
	return "one of " + strings.Join(names, ", ")
}
