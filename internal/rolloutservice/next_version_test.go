package rolloutservice

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// TestNextVersionStaysAfterAFailedWrite has a write of the next version fail because the disk is full, simulated by a
// limit on file sizes. The fault it guards against: the partly written file replaced the file, and the supervisor
// started a version that is in no plan.
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
		t.Errorf("the next version is %q, %v; want the previous one", raw, err)
	}
	if _, err := os.Stat(path + ".part"); err == nil {
		t.Error("the partly written file was not removed")
	}
}
