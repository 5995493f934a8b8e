package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"cairntiller/internal/sexp"
	"cairntiller/internal/sql"
)

// classifyCommand prints the class of each statement.
type classifyCommand struct {
	Input string `arg:"" optional:"" name:"statements" help:"A file of statements; standard input without one."`
	File  string `type:"existingfile" placeholder:"FILE" help:"The operator's file, whose part statements tells of functions, types and views."`
	Lines bool   `help:"One statement a line. Otherwise a line that holds only ;; parts them."`
}

// Run prints a line for each statement: class, cost, shape, route and reason, with tabs between, and a dash for what is not
// known. Nothing works out cost and route yet, so both are always a dash; the columns keep their places.
func (c *classifyCommand) Run(out io.Writer) error {
	settings, err := c.readSettings()
	if err != nil {
		return err
	}
	input, err := c.openInput()
	if err != nil {
		return err
	}
	defer input.Close()
	cache, err := sql.NewCache(settings.Catalogue, settings.StringSyntax, settings.CacheBytes)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(out)
	defer w.Flush()
	classifier := cache.NewClassifier()
	return forEachStatement(input, c.Lines, func(text string) error { return printClass(w, classifier, text) })
}

// readSettings reads the statements part of the operator's file, and leaves the parts beside it to the router.
func (c *classifyCommand) readSettings() (sql.Settings, error) {
	if c.File == "" {
		return sql.ReadSettings(sexp.EmptyFile().Part("statements")), nil
	}
	file, err := sexp.ReadFile(c.File)
	if err != nil {
		return sql.Settings{}, err
	}
	settings := sql.ReadSettings(file.Part("statements"))
	file.Part("fleet").AcceptAllNames()
	file.Part("duties").AcceptAllNames()
	return settings, file.Err()
}

// openInput opens the file of statements, or standard input.
func (c *classifyCommand) openInput() (io.ReadCloser, error) {
	if c.Input == "" {
		return io.NopCloser(os.Stdin), nil
	}
	return os.Open(c.Input)
}

// printClass classifies one statement and prints a line; cost and route, the second and fourth column, are always a dash.
func printClass(out io.Writer, classifier *sql.Classifier, text string) error {
	entry, _, err := classifier.Classify(text, nil)
	if err != nil {
		_, err = fmt.Fprintf(out, "refused\t-\t-\t-\t%v\n", err)
		return err
	}
	reason := entry.Reason
	if reason == "" {
		reason = "-"
	}
	_, err = fmt.Fprintf(out, "%v\t-\t%s\t-\t%s\n", entry.Class, entry.Shape, singleLine(reason))
	return err
}

// singleLine keeps a name with a tab or a line's end in it from being taken for more.
func singleLine(s string) string {
	return strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(s)
}

// forEachStatement calls do for each statement of an input, in turn: each line is one if onePerLine is set, otherwise lines
// of ;; part them. It ends at the first error.
func forEachStatement(in io.Reader, onePerLine bool, do func(string) error) error {
	r := bufio.NewReader(in)
	var text strings.Builder
	begun := false // the statement under way has a line
	flush := func() error {
		one := strings.TrimRight(text.String(), "\r\n")
		text.Reset()
		begun = false
		return do(one)
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil && err != io.EOF {
			return err
		}
		switch {
		case onePerLine && line != "":
			text.WriteString(line)
			if err := flush(); err != nil {
				return err
			}
		case !onePerLine && strings.TrimSpace(line) == ";;":
			if err := flush(); err != nil {
				return err
			}
		case line != "":
			begun = true
			text.WriteString(line)
		}
		if err == io.EOF {
			if begun {
				return flush()
			}
			return nil
		}
	}
}
