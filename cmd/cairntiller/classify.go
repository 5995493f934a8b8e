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

type classifyCommand struct {
	Input string `arg:"" optional:"" name:"statements" help:"A file of statements; standard input without one."`
	File  string `type:"existingfile" placeholder:"FILE" help:"The operator's file, whose part statements tells of functions, types and views."`
	Lines bool   `help:"One statement a line. Otherwise a line that holds only ;; parts them."`
}

// Run prints class, cost, shape, route and reason of each statement, with tabs between; a dash for what is not known.
func (l *classifyCommand) Run(out io.Writer) error {
	file, err := sexp.EmptyFile(), error(nil)
	if l.File != "" {
		if file, err = sexp.ReadFile(l.File); err != nil {
			return err
		}
	}
	k := sql.ReadSettings(file.Part("statements"))
	if l.File != "" {
		file.Part("fleet").AcceptAllNames()
		file.Part("duties").AcceptAllNames()
		if err := file.Faults(); err != nil {
			return err
		}
	}
	in := io.Reader(os.Stdin)
	if l.Input != "" {
		f, err := os.Open(l.Input)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	cache, err := sql.NewCache(k.Catalogue, k.StringSyntax, k.CacheBytes)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(out)
	defer w.Flush()
	reader := cache.NewClassifier()
	return forEachStatement(in, l.Lines, func(text string) error {
		e, _, err := reader.Classify(text, nil)
		if err != nil {
			_, err = fmt.Fprintf(w, "refused\t-\t-\t-\t%v\n", err)
			return err
		}
		reason := e.Reason
		if reason == "" {
			reason = "-"
		}
		_, err = fmt.Fprintf(w, "%v\t-\t%s\t-\t%s\n", e.Class, e.Shape, singleLine(reason))
		return err
	})
}

// singleLine keeps a name with a tab or a line's end in it from being taken for more.
func singleLine(s string) string {
	return strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(s)
}

// forEachStatement gives each statement of an input to do, in turn.
func forEachStatement(in io.Reader, lines bool, do func(string) error) error {
	r := bufio.NewReader(in)
	var text strings.Builder
	some := false // the statement under way has a line
	flush := func() error {
		one := strings.TrimRight(text.String(), "\r\n")
		text.Reset()
		some = false
		return do(one)
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil && err != io.EOF {
			return err
		}
		switch {
		case lines && line != "":
			text.WriteString(line)
			if err := flush(); err != nil {
				return err
			}
		case !lines && strings.TrimSpace(line) == ";;":
			if err := flush(); err != nil {
				return err
			}
		case line != "":
			some = true
			text.WriteString(line)
		}
		if err == io.EOF {
			if some {
				return flush()
			}
			return nil
		}
	}
}
