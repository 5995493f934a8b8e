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

// maxFileBytes limits a file's size. It is far above any hand-written file; a larger one was named by mistake.
const maxFileBytes = 1 << 20

// File is a parsed file. Its parts are looked up by name; Err must be called after the last lookup.
type File struct {
	name string
	root *Part
	errs []Error
}

// EmptyFile returns a file without parts, in which every value has its default.
func EmptyFile() *File {
	f := &File{name: "none"}
	f.root = &Part{file: f, requested: map[string]bool{}}
	return f
}

// ReadFile reads and parses a file. The error is an Error for invalid syntax, a FileSizeError for a file that is too
// large, or an error of the operating system.
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

// Parse parses the text of a file; errors refer to the file by name. The error is an Error.
func Parse(name string, raw []byte) (*File, error) {
	f := &File{name: name}
	if !utf8.Valid(raw) {
		return nil, Error{name, 1 + strings.Count(string(raw[:validUTF8Prefix(raw)]), "\n"), 1, "bytes that are not valid text", "UTF-8"}
	}
	if line, column, ok := checkDepth(raw); !ok {
		return nil, Error{name, line, column, "a list nested too deep", fmt.Sprint(maxListDepth, " levels at most")}
	}
	tree, err := parser().ParseBytes(name, raw)
	if err != nil {
		var syntaxError participle.Error
		if errors.As(err, &syntaxError) {
			return nil, Error{name, syntaxError.Position().Line, syntaxError.Position().Column,
				describeParserMessage(syntaxError.Message()),
				`lists such as (name value), with balanced parentheses and closed quotes`}
		}
		return nil, err
	}
	f.root = &Part{file: f, items: tree.Lists, requested: map[string]bool{}}
	for _, item := range tree.Lists {
		f.root.checkNamedList(item)
	}
	return f, nil
}

// describeParserMessage extracts what was found from the parser's message.
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

func (f *File) addError(position lexer.Position, found, want string) {
	f.errs = append(f.errs, Error{f.name, position.Line, position.Column, found, want})
}

// Part returns the part with a name. If the file has none, every value in the returned part has its default.
func (f *File) Part(name string) *Part { return f.root.Part(name) }

// Err returns all errors joined, in the order of the file, or nil. It must be called after the last lookup, because
// names that have not been looked up by then are reported as unknown.
func (f *File) Err() error {
	f.root.reportUnknownNames()
	slices.SortStableFunc(f.errs, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	f.errs = slices.Compact(f.errs)
	errs := make([]error, len(f.errs))
	for i, err := range f.errs {
		errs[i] = err
	}
	return errors.Join(errs...)
}
