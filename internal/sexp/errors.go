package sexp

import "fmt"

// Error is a mistake in a file: its location, what was found there and what is expected instead.
type Error struct {
	File         string
	Line, Column int
	Found, Want  string
}

// Error formats the error as file:line:column, followed by what was found and what is expected.
func (f Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: found %s, want %s", f.File, f.Line, f.Column, f.Found, f.Want)
}

// FileSizeError is returned for a file that is too large to be an operator's file.
type FileSizeError struct {
	Path  string
	Bytes int64
}

// Error names the file, its size and the maximum size.
func (e FileSizeError) Error() string {
	return fmt.Sprintf("%s: %d bytes, want %d at most", e.Path, e.Bytes, maxFileBytes)
}
