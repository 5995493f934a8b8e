package sexp

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// maxFileBytes bounds a file's size. It is far over any hand-written file; a larger one was named by mistake.
const maxFileBytes = 1 << 20

// File is a file that has been parsed; its parts are taken from it by name, and Faults ends its reading.
type File struct {
	name   string
	root   *Part
	faults []Fault
}

// EmptyFile returns a file without parts: every part gives its defaults.
func EmptyFile() *File {
	f := &File{name: "none"}
	f.root = &Part{file: f, requested: map[string]bool{}}
	return f
}

// ReadFile reads and parses a file. The error is a Fault where the file's syntax breaks off, a FileSizeError where the file is
// too large to be one written by hand, else what the system said.
func ReadFile(path string) (*File, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if st.Size() > maxFileBytes {
		return nil, FileSizeError{Path: path, Bytes: st.Size()}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse parses a file's text; name stands for the file in its faults. The error is a Fault.
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

// describeParserMessage turns the parser's message into what was found.
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

// validUTF8Prefix returns how many leading bytes are valid UTF-8.
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

func (f *File) addFault(at lexer.Position, found, want string) {
	f.faults = append(f.faults, Fault{f.name, at.Line, at.Column, found, want})
}

// Part returns the list of that name. Where there is none, the part gives every default.
func (f *File) Part(name string) *Part { return f.root.Part(name) }

// Faults ends the reading and returns all faults, joined, in the file's order, or nil. Names that nobody has asked for are
// faults too.
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
