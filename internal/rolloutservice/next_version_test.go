package rolloutservice

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// TestNextVersionStaysAfterAFailedWrite: the disk is full, here by a limit on the size of files, while the next version is
// written. Seen: the part that was written replaces the file, and the supervisor starts another version than any plan has.
func TestNextVersionStaysAfterAFailedWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "next")
	if err := writeNextVersion(path, 7); err != nil {
		t.Fatal(err)
	}
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	limited := before
	limited.Cur = 3
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limited); err != nil {
		t.Fatal(err)
	}
	err := writeNextVersion(path, 1234567)
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	if err == nil {
		t.Fatal("a write past the limit succeeded")
	}
	if raw, err := os.ReadFile(path); err != nil || string(raw) != "7\n" {
		t.Errorf("the next version is %q, %v; want that of before", raw, err)
	}
	if _, err := os.Stat(path + ".part"); err == nil {
		t.Error("the part that was written is left behind")
	}
}
