// Package sexp reads the operator's file: S-expressions, one list a part. Each part is decoded by the package that
// it sets up, through a Part, which gives times, sizes, numbers and texts with their units and bounds and collects
// every fault with its place, so that one reading tells all of them.
//
//	; a comment
//	(fleet
//	  (cluster "kandy")
//	  (join "10.0.0.1:7946" "10.0.0.2:7946")
//	  (keys (file "/etc/cairntiller/fleet.keys")))
package sexp

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/agext/levenshtein"
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	maxFileBytes        = 1 << 20 // bytes of a file: far over any hand-written one
	maxListDepth        = 32      // lists within lists: far over what any part needs
	suggestionThreshold = 0.6     // of a name's letters that must agree for it to be offered in place of an unknown one
)

type node struct {
	Pos  lexer.Position
	List *list   `parser:"  @@"`
	Text *string `parser:"| @String"`
	Word *string `parser:"| @Word"`
}

type list struct {
	Pos   lexer.Position
	Items []*node `parser:"'(' @@* ')'"`
}

type syntaxTree struct {
	Lists []*node `parser:"@@*"`
}

// parser is made when a file is first read: a router without one has no use for it.
var parser = sync.OnceValue(func() *participle.Parser[syntaxTree] {
	return participle.MustBuild[syntaxTree](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Bracket", Pattern: `[()]`},
		{Name: "Word", Pattern: `[^\s()";]+`},
	})),
		participle.Elide("Comment", "Space"),
		participle.Unquote("String"))
})

// Fault is one thing in a file that can't stand as it is.
type Fault struct {
	File         string
	Line, Column int
	Found, Want  string
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: found %s, want %s", f.File, f.Line, f.Column, f.Found, f.Want)
}

// File is a file that has been read; its parts are taken from it by name.
type File struct {
	name   string
	root   *Part
	faults []Fault
}

// Empty is a file without parts: every part has its defaults.
func EmptyFile() *File {
	f := &File{name: "none"}
	f.root = &Part{file: f, requested: map[string]bool{}}
	return f
}

// ReadFile reads a file; the error names the first place at which its form breaks off.
func ReadFile(path string) (*File, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if st.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, want %d at most", path, st.Size(), maxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Read reads a file's text under a name for its faults.
func Parse(name string, raw []byte) (*File, error) {
	f := &File{name: name}
	if !utf8.Valid(raw) {
		return nil, Fault{name, 1 + strings.Count(string(raw[:validUTF8Prefix(raw)]), "\n"), 1, "bytes that are no text", "UTF-8"}
	}
	if line, column, ok := checkDepth(raw); !ok {
		return nil, Fault{name, line, column, "a list too deep", fmt.Sprint(maxListDepth, " within one another at most")}
	}
	tree, err := parser().ParseBytes(name, raw)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			return nil, Fault{name, at.Position().Line, at.Position().Column, describeParserMessage(at.Message()),
				`lists such as (name value), each "(" with its ")" and each text with both its marks`}
		}
		return nil, err
	}
	f.root = &Part{file: f, items: tree.Lists, requested: map[string]bool{}}
	for _, one := range tree.Lists {
		f.root.checkNamedList(one)
	}
	return f, nil
}

// place words the parser's message as what was found.
func describeParserMessage(message string) string {
	message = strings.TrimPrefix(message, "lexer: ")
	if i := strings.Index(message, " ("); i > 0 {
		message = message[:i]
	}
	if strings.Contains(message, `"<EOF>"`) {
		return "the end of the file within a list"
	}
	return strings.TrimPrefix(message, "unexpected token ")
}

func validUTF8Prefix(raw []byte) (n int) {
	for n < len(raw) {
		r, size := utf8.DecodeRune(raw[n:])
		if r == utf8.RuneError && size <= 1 {
			return n
		}
		n += size
	}
	return n
}

// shallow looks at the depth before the parser does, for the parser recurs.
func checkDepth(raw []byte) (line, column int, ok bool) {
	depth, text := 0, false
	line, column = 1, 0
	for i := 0; i < len(raw); i++ {
		column++
		switch c := raw[i]; {
		case c == '\n':
			line, column = line+1, 0
		case text && c == '\\':
			i++
			column++
		case c == '"':
			text = !text
		case text:
		case c == ';':
			for i+1 < len(raw) && raw[i+1] != '\n' {
				i++
			}
		case c == '(':
			if depth++; depth > maxListDepth {
				return line, column, false
			}
		case c == ')':
			depth--
		}
	}
	return 0, 0, true
}

func (f *File) addFault(at lexer.Position, found, want string) {
	f.faults = append(f.faults, Fault{f.name, at.Line, at.Column, found, want})
}

// Part takes the list of that name; where there is none, a part that gives every default.
func (f *File) Part(name string) *Part { return f.root.Part(name) }

// Faults ends the reading: parts and names that nobody asked for are faults too. They come in the file's order.
func (f *File) Faults() error {
	f.root.reportUnknownNames()
	slices.SortStableFunc(f.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	f.faults = slices.Compact(f.faults)
	errs := make([]error, len(f.faults))
	for i, one := range f.faults {
		errs[i] = one
	}
	return errors.Join(errs...)
}

// Part is one list whose values are taken by name.
type Part struct {
	file      *File
	position  lexer.Position
	name      string
	items     []*node // what follows the name
	requested map[string]bool
	subparts  []*Part
	present   bool
}

// Given tells whether the part stands in the file.
func (p *Part) Present() bool { return p.present }

// named checks that a node is a list that begins with a name.
func (p *Part) checkNamedList(n *node) (name string, items []*node, ok bool) {
	switch {
	case n.List == nil:
		p.file.addFault(n.Pos, n.String(), "a list such as (name value)")
	case len(n.List.Items) == 0 || n.List.Items[0].Word == nil:
		p.file.addFault(n.Pos, "a list that begins with no name", "a list such as (name value)")
	default:
		return *n.List.Items[0].Word, n.List.Items[1:], true
	}
	return "", nil, false
}

// String words a node for a fault.
func (n *node) String() string {
	switch {
	case n.Word != nil:
		return strconv.Quote(*n.Word)
	case n.Text != nil:
		return "the text " + strconv.Quote(*n.Text)
	}
	return "a list"
}

// find is the one list of a name among a part's items.
func (p *Part) lookup(name string) (at *node, items []*node) {
	p.requested[name] = true
	for _, one := range p.items {
		if one.List == nil || len(one.List.Items) == 0 || one.List.Items[0].Word == nil || *one.List.Items[0].Word != name {
			continue
		}
		if at != nil {
			p.file.addFault(one.Pos, "a second "+strconv.Quote(name), fmt.Sprint("one, as in line ", at.Pos.Line))
			continue
		}
		at, items = one, one.List.Items[1:]
	}
	return at, items
}

// Part is the list of that name within this one.
func (p *Part) Part(name string) *Part {
	sub := &Part{file: p.file, position: p.position, name: name, requested: map[string]bool{}}
	if at, items := p.lookup(name); at != nil {
		sub.position, sub.items, sub.present = at.Pos, items, true
		for _, one := range items {
			sub.checkNamedList(one)
		}
	}
	p.subparts = append(p.subparts, sub)
	return sub
}

// Skip leaves a part's names to whom it sets up.
func (p *Part) AcceptAllNames() {
	for _, one := range p.items {
		if one.List != nil && len(one.List.Items) > 0 && one.List.Items[0].Word != nil {
			p.requested[*one.List.Items[0].Word] = true
		}
	}
}

// unknown finds the names that nobody asked for.
func (p *Part) reportUnknownNames() {
	for _, one := range p.items {
		if one.List == nil || len(one.List.Items) == 0 || one.List.Items[0].Word == nil || p.requested[*one.List.Items[0].Word] {
			continue
		}
		name := *one.List.Items[0].Word
		p.file.addFault(one.List.Items[0].Pos, "the unknown name "+strconv.Quote(name), suggestName(name, p.requested))
	}
	for _, sub := range p.subparts {
		sub.reportUnknownNames()
	}
}

// near words the known names, the nearest first.
func suggestName(name string, known map[string]bool) string {
	best, share := "", 0.0
	var all []string
	for one := range known {
		all = append(all, one)
		if v := levenshtein.Match(name, one, nil); v > share || v == share && one < best {
			best, share = one, v
		}
	}
	if share >= suggestionThreshold {
		return strconv.Quote(best)
	}
	slices.Sort(all)
	if len(all) == 0 {
		return "nothing there"
	}
	return "one of " + strings.Join(all, ", ")
}

// word is a name's single value, "" where it is not given.
func (p *Part) singleValue(name, want string) (n *node) {
	at, items := p.lookup(name)
	if at == nil {
		return nil
	}
	if len(items) != 1 {
		p.file.addFault(at.Pos, fmt.Sprintf("%q with %d values", name, len(items)), "one: "+want)
		return nil
	}
	if items[0].List != nil {
		p.file.addFault(items[0].Pos, "a list", want)
		return nil
	}
	return items[0]
}

// Text is a name's text.
func (p *Part) Text(name, otherwise string) string {
	n := p.singleValue(name, "a text")
	switch {
	case n == nil:
		return otherwise
	case n.Text != nil:
		return *n.Text
	}
	return *n.Word
}

// Texts are a name's texts, none or more.
func (p *Part) Texts(name string) (all []string) {
	_, items := p.lookup(name)
	for _, n := range items {
		switch {
		case n.Text != nil:
			all = append(all, *n.Text)
		case n.Word != nil:
			all = append(all, *n.Word)
		default:
			p.file.addFault(n.Pos, "a list", "a text")
		}
	}
	return all
}

// Number is a name's number within bounds.
func (p *Part) Number(name string, otherwise, least, most float64) float64 {
	want := fmt.Sprintf("a number from %s to %s", formatNumber(least), formatNumber(most))
	n := p.singleValue(name, want)
	if n == nil {
		return otherwise
	}
	v, err := 0.0, error(nil)
	if n.Word == nil {
		err = strconv.ErrSyntax
	} else {
		v, err = strconv.ParseFloat(*n.Word, 64)
	}
	if err != nil || !(v >= least && v <= most) {
		p.file.addFault(n.Pos, n.String(), want)
		return otherwise
	}
	return v
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// Whole is a name's whole number within bounds.
func (p *Part) Integer(name string, otherwise, least, most int) int {
	want := fmt.Sprintf("a whole number from %d to %d", least, most)
	n := p.singleValue(name, want)
	if n == nil {
		return otherwise
	}
	v, err := 0, error(nil)
	if n.Word == nil {
		err = strconv.ErrSyntax
	} else {
		v, err = strconv.Atoi(*n.Word)
	}
	if err != nil || v < least || v > most {
		p.file.addFault(n.Pos, n.String(), want)
		return otherwise
	}
	return v
}

// unit is a suffix and how many of the smallest unit it stands for.
type unit struct {
	name   string
	factor float64
}

var (
	durationUnits = []unit{{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}}
	sizeUnits     = []unit{{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}
)

// Time is a name's time in us, within bounds.
func (p *Part) Duration(name string, otherwise, least, most int64) int64 {
	return p.quantity(name, otherwise, least, most, "a time", durationUnits)
}

// Size is a name's size in bytes, within bounds.
func (p *Part) Size(name string, otherwise, least, most int64) int64 {
	return p.quantity(name, otherwise, least, most, "a size", sizeUnits)
}

func (p *Part) quantity(name string, otherwise, least, most int64, what string, units []unit) int64 {
	want := fmt.Sprintf("%s from %s to %s", what, formatQuantity(least, units), formatQuantity(most, units))
	n := p.singleValue(name, want)
	if n == nil {
		return otherwise
	}
	if n.Word != nil {
		for _, u := range units {
			digits, ok := strings.CutSuffix(*n.Word, u.name)
			if !ok {
				continue
			}
			v, err := strconv.ParseFloat(digits, 64)
			if err != nil {
				continue
			}
			if v = math.Round(v * u.factor); v >= float64(least) && v <= float64(most) {
				return int64(v)
			}
		}
	}
	p.file.addFault(n.Pos, n.String(), want)
	return otherwise
}

// amount words a measure in its largest whole unit.
func formatQuantity(v int64, units []unit) string {
	for i := len(units) - 1; i > 0; i-- {
		if of := int64(units[i].factor); v >= of && v%of == 0 {
			return fmt.Sprint(v/of, units[i].name)
		}
	}
	return fmt.Sprint(v, units[0].name)
}

// Wrong notes a fault that only the part's owner can see, at the place of one of its names.
func (p *Part) AddFault(name, found, want string) {
	at, items := p.lookup(name)
	switch {
	case at == nil:
		p.file.addFault(p.position, found, want)
	case len(items) > 0:
		p.file.addFault(items[0].Pos, found, want)
	default:
		p.file.addFault(at.Pos, found, want)
	}
}
