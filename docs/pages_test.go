// Package docs holds the project's pages. Its test keeps what they name in step with the code.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	filePath  = regexp.MustCompile("`((?:internal|cmd|docs|deploy|\\.ci)/[A-Za-z0-9_./-]*[A-Za-z0-9_])`")
	pageLink  = regexp.MustCompile(`\]\(([^)#:]+\.md)`)
	functions = regexp.MustCompile("`([a-z_/]+\\.go)`: ((?:`[A-Za-z]+`(?:, )?)+)")
	quoted    = regexp.MustCompile("`([A-Za-z]+)`")
)

// pages are all pages but the record of incidents, which tells of code as it was.
func pages(t *testing.T) []string {
	t.Helper()
	all := []string{"../README.md", "../CHANGELOG.md"}
	for _, pattern := range []string{"*.md", "operate/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, found...)
	}
	return all
}

func read(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestPagesNameExistingFiles: a file or package is renamed and a page goes on naming the old one. An engineer on call
// who follows the page finds nothing.
func TestPagesNameExistingFiles(t *testing.T) {
	for _, page := range pages(t) {
		if strings.HasSuffix(page, "CHANGELOG.md") {
			continue // it lists former names
		}
		text := read(t, page)
		for _, match := range filePath.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join("..", match[1])); err != nil {
				t.Errorf("%s names %s, which is not there", page, match[1])
			}
		}
		for _, match := range pageLink.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links %s, which is not there", page, match[1])
			}
		}
	}
}

// TestOnCallNamesExistingFunctions: the on-call page leads from a symptom to a file and its functions. One that was
// renamed or moved to another file must be followed there.
func TestOnCallNamesExistingFunctions(t *testing.T) {
	found := functions.FindAllStringSubmatch(read(t, "oncall.md"), -1)
	if len(found) < 40 {
		t.Fatalf("only %d files with functions were found", len(found))
	}
	for _, match := range found {
		file := match[1]
		if !strings.Contains(file, "/") {
			file = "internal/routing/" + file
		}
		source := read(t, filepath.Join("..", file))
		for _, name := range quoted.FindAllStringSubmatch(match[2], -1) {
			declared := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + name[1] + `\(`)
			if !declared.MatchString(source) {
				t.Errorf("%s has no function %s", file, name[1])
			}
		}
	}
}
