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
	Input string `arg:"" optional:"" name:"statements" help:"File of statements; default is standard input."`
	File  string `type:"existingfile" placeholder:"FILE" help:"Operator's file, whose part statements describes functions, types and views."`
	Lines bool   `help:"Read one statement per line. By default a line of only ;; separates statements."`
}

// Run prints one line per statement with class, cost, shape, route and reason, separated by tabs. A dash stands for an
// unknown value. Cost and route are not computed yet, so both are always a dash; their columns are reserved.
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

// readSettings reads the statements part of the operator's file. It accepts any name in the parts fleet and duties, which
// the router checks. Any other part is reported as an unknown name.
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

// openInput opens the file of statements, or standard input if no file is given.
func (c *classifyCommand) openInput() (io.ReadCloser, error) {
	if c.Input == "" {
		return io.NopCloser(os.Stdin), nil
	}
	return os.Open(c.Input)
}

// printClass classifies one statement and prints its line. Cost and route, the second and fourth columns, are always a dash.
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

// singleLine replaces tabs and line breaks with spaces, so that a name that contains them stays in one column of one line.
func singleLine(s string) string {
	return strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(s)
}

// forEachStatement calls do for each statement of the input, in order. If onePerLine is set each line is a statement,
// otherwise lines of only ;; separate them. It stops at the first error.
func forEachStatement(in io.Reader, onePerLine bool, do func(string) error) error {
	r := bufio.NewReader(in)
	var text strings.Builder
	hasLines := false // the current statement has at least one line
	flush := func() error {
		statement := strings.TrimRight(text.String(), "\r\n")
		text.Reset()
		hasLines = false
		return do(statement)
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
			hasLines = true
			text.WriteString(line)
		}
		if err == io.EOF {
			if hasLines {
				return flush()
			}
			return nil
		}
	}
}
