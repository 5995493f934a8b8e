package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMain lets the test binary run as the router process that the demo starts.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "run" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestDemo checks that writes resume after the kill of a primary and that no guarantee is broken.
func TestDemo(t *testing.T) {
	code, out, errs := runCommandLine(t, "demo", "--groups", "1", "--for", "4s")
	if code != 0 || !strings.Contains(out, "is killed") || !strings.Contains(out, "none ran twice") {
		t.Errorf("%d: %s%s", code, out, errs)
	}
	if code, _, _ := runCommandLine(t, "demo", "--for", "1s"); code != exitFailure {
		t.Errorf("%d", code)
	}
}

func runCommandLine(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestHelpAndUsage(t *testing.T) {
	if code, out, _ := runCommandLine(t, "--help"); code != 0 || !strings.Contains(out, "check") || !strings.Contains(out, "Exit codes") {
		t.Errorf("%d: %s", code, out)
	}
	if code, out, errs := runCommandLine(t, "--nonsense"); code != exitUsage || out != "" || !strings.Contains(errs, "nonsense") {
		t.Errorf("%d: %s, %s", code, out, errs)
	}
	if code, out, _ := runCommandLine(t, "version"); code != 0 || !strings.HasPrefix(out, "cairntiller ") {
		t.Errorf("%d: %s", code, out)
	}
}

func TestCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file.sexp")
	for text, want := range map[string]string{
		"": "",
		`(fleet (name r1) (listen "127.0.0.1:7946") (keys "AQEBAQEBAQEBAQEBAQEBAQ==")) (duties (probe (every 2s)))`: "",
		"(duties (probe (evry 2s)) (instances 0))": `:1:17: found the unknown name "evry", want "every"`,
		"(duties)": "duties without a fleet",
		"(fleet":   "the end of the file within a list",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		code, out, errs := runCommandLine(t, "check", path)
		if want == "" && (code != 0 || errs != "" || !strings.Contains(out, "no faults")) {
			t.Errorf("%q: %d, %s%s", text, code, out, errs)
		}
		if want != "" && (code != exitFailure || !strings.Contains(errs, want)) {
			t.Errorf("%q: %d, %s, want %s", text, code, errs, want)
		}
	}
	if code, _, errs := runCommandLine(t, "check", path+".none"); code != exitFailure || errs == "" {
		t.Errorf("%d, %s", code, errs)
	}
}

// TestRunWithoutConfiguration checks that the program runs a router by default, and that its error names RELAY_CONFIG.
func TestRunWithoutConfiguration(t *testing.T) {
	t.Setenv("RELAY_CONFIG", "/nowhere")
	if code, _, errs := runCommandLine(t); code != exitFailure || !strings.Contains(errs, "RELAY_CONFIG") {
		t.Errorf("%d, %s", code, errs)
	}
}

// TestClassify checks that classify prints one line of five columns for each statement, whatever it contains.
func TestClassify(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	in := write("in", "select 1\n;;\nselect a\nfrom b\n ;; \ndelete from a\n;;\nselect 'a\n;;\nselect f(1)")
	file := write("file", `(statements (harmless f)) (fleet (name "a") (listen "127.0.0.1:1"))`)
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"classify", in}, "read read write refused write"},
		{[]string{"classify", "--file", file, in}, "read read write refused read"},
		{[]string{"classify", "--lines", write("lines", "select 1\n\nupdate a set b = 1\n;;\nbegin")}, "read read write read transaction"},
		{[]string{"classify", write("none", "")}, ""},
	} {
		code, out, errs := runCommandLine(t, c.args...)
		var classes []string
		for line := range strings.Lines(out) {
			columns := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
			if len(columns) != 5 {
				t.Errorf("%q", line)
			}
			classes = append(classes, columns[0])
		}
		if got := strings.Join(classes, " "); code != 0 || got != c.want {
			t.Errorf("%v: %d, %s, want %s: %s", c.args, code, got, c.want, errs)
		}
	}
}
