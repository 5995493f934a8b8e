package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed runs .ci/known-red on given output of `go test`. Only a test that the list names by its exact package and
// name may fail. Every other failure, and a list with an incomplete entry, must fail the run.
func TestKnownRed(t *testing.T) {
	const red = "a/b TestRed; go test ./b -seed 7; the answer came twice; issue 30\n"
	other := strings.Repeat(strings.Replace(red, "a/b", "a/d", 1), 4)
	failed := "--- FAIL: TestRed (0.00s)\n    x_test.go:1: no\nFAIL\nFAIL\ta/b\t0.1s\nok  \ta/c\t0.1s\nFAIL\n"
	for name, c := range map[string]struct {
		list, out      string
		exitCode, want int
		wantOutput     string
	}{
		"all tests pass":                              {"", "ok  \ta/b\t0.1s\n", 0, 0, ""},
		"unlisted test fails":                         {"", failed, 1, 1, "not listed: a/b TestRed"},
		"listed test fails":                           {red, failed, 1, 0, "KNOWN RED: a/b TestRed"},
		"listed in another package":                   {strings.Replace(red, "a/b", "a/d", 1), failed, 1, 1, "not listed"},
		"listed name is a prefix":                     {strings.Replace(red, "TestRed", "TestRe", 1), failed, 1, 1, "not listed"},
		"listed path has a prefix":                    {"x/" + red, failed, 1, 1, "not listed: a/b TestRed"},
		"unlisted test of the same package fails too": {red, "--- FAIL: TestOther (0.00s)\n" + failed, 1, 1, "not listed: a/b TestOther"},
		"unlisted test of another package fails too":  {red, strings.Replace(failed, "ok  \ta/c\t0.1s\n", "--- FAIL: TestRed (0.00s)\nFAIL\nFAIL\ta/c\t0.1s\n", 1), 1, 1, "not listed: a/c TestRed"},
		"listed test passes":                          {red, "ok  \ta/b\t0.1s\n", 0, 0, "remove its line"},
		"another package does not build":              {red, failed + "FAIL\ta/e [build failed]\n", 1, 1, ""},
		"panic in the output":                         {red, "panic: no\n" + failed, 2, 1, ""},
		"failure without a test name":                 {red, "FAIL\ta/b\t0.1s\n", 1, 1, "no test named"},
		"data race in a listed test":                  {red, "WARNING: DATA RACE\n" + failed, 1, 1, ""},
		"failure without output":                      {"", "", 1, 1, ""},
		"five entries, listed test fails":             {other + red, failed, 1, 0, "KNOWN RED: a/b TestRed"},
		"five entries, unlisted test fails":           {other + red, "--- FAIL: TestOther (0.00s)\n" + failed, 1, 1, "not listed: a/b TestOther"},
		"entry with one field":                        {"a/b TestRed\n", "", 0, 1, "is not"},
		"entry without a command":                     {"a/b TestRed; ; the answer came twice; issue 30\n", "", 0, 1, "is not"},
		"entry without a symptom":                     {"a/b TestRed; go test ./b; issue 30\n", "", 0, 1, "is not"},
		"entry without an issue":                      {"a/b TestRed; go test ./b; the answer came twice\n", "", 0, 1, "is not"},
		"entry in the old format":                     {"a/b TestRed: the answer came twice, issue 30\n", "", 0, 1, "is not"},
		"entry with a pattern for the name":           {"a/b Test.*; go test ./b; much; issue 30\n", "", 0, 1, "is not"},
	} {
		dir := t.TempDir()
		list, out := filepath.Join(dir, "list"), filepath.Join(dir, "out")
		if err := os.WriteFile(list, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(out, []byte(c.out), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", "../../.ci/known-red", list, "bash", "-c", `cat "$0"; exit $1`, out, string(rune('0'+c.exitCode)))
		output, _ := cmd.CombinedOutput()
		if exitCode := cmd.ProcessState.ExitCode(); exitCode != c.want || !strings.Contains(string(output), c.wantOutput) {
			t.Errorf("%s: exit code %d, want %d and output with %q:\n%s", name, exitCode, c.want, c.wantOutput, output)
		}
	}
}
