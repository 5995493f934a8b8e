package sexp

import "fmt"

// Fault is one thing in a file that can't stand as it is: where it is, what was found there, and what may stand there.
type Fault struct {
	File         string
	Line, Column int
	Found, Want  string
}

// Error gives the fault as file:line:column, what was found and what is wanted.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: found %s, want %s", f.File, f.Line, f.Column, f.Found, f.Want)
}

// FileSizeError refuses a file that is too large to be an operator's file.
type FileSizeError struct {
	Path  string
	Bytes int64
}

// Error names the file, its size and the largest size.
func (e FileSizeError) Error() string {
	return fmt.Sprintf("%s: %d bytes, want %d at most", e.Path, e.Bytes, maxFileBytes)
}
