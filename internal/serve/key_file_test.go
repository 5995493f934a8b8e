package serve

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestEmptyKeyFile checks that an empty key file, as the rotation of a secret briefly leaves it, is rejected. Once, check
// found no fault in it, a router panicked at startup, and a running one panicked on SIGHUP and dropped its open requests.
func TestEmptyKeyFile(t *testing.T) {
	listen := freeAddress(t)
	writeConfig(t, strings.Replace(fmt.Sprintf(configTemplate, listen, "127.0.0.1:1"), `"cancel":true`, `"cancel":true,"probes":true`, 1))
	folder := t.TempDir()
	path, keyFile := filepath.Join(folder, "file.sexp"), filepath.Join(folder, "keys")
	write := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(path, fmt.Sprintf(`(fleet (listen %q) (key-file %q)) (duties (instances 2))`, freeAddress(t), keyFile))
	for _, empty := range []string{"", " \n\t\n"} {
		write(keyFile, empty)
		for action, err := range map[string]error{"check": CheckFile(path), "start": Run(path, TestHooks{})} {
			if err == nil || !strings.Contains(err.Error(), "no key") {
				t.Errorf("%s with a key file of %q: %v", action, empty, err)
			}
		}
	}
	write(keyFile, base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{1}, 32)))
	ended := runInBackground(path)
	for c, err := net.Dial("tcp", listen); ; c, err = net.Dial("tcp", listen) {
		if err == nil {
			c.Close()
			break
		}
		select {
		case err := <-ended:
			t.Fatal("the router does not start:", err)
		case <-time.After(time.Millisecond):
		}
	}
	write(keyFile, "")
	reloadUntilCounted(t, rejectedConfigs)
	stopRouter(t, ended)
}
