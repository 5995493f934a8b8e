package serve

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cairntiller/internal/assignment"
	"cairntiller/internal/membership"
	"cairntiller/internal/metrics"
)

// TestStartupReloadShutdown runs a router from start to end. It is not ready without an endpoint list, and SIGHUP with an
// invalid file changes nothing. SIGHUP with a valid file moves it to the file's discovery, whatever the environment
// names. After SIGTERM it still answers every command that it has received.
func TestStartupReloadShutdown(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // a node that accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	sendList := make(chan bool)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-sendList:
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"a","type":"m",`+
			`"group":3,"status":"active","role":"primary","since_ms":0}]}`+"\n", silent.Addr())
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer discovery.Close()
	listen := freeAddress(t)
	writeConfig(t, fmt.Sprintf(configTemplate, listen, "127.0.0.1:1")) // discovery's address; nothing listens there
	t.Setenv("RELAY_DISCOVERY", "127.0.0.1:1")
	ended := runInBackground("")

	c := dialRouter(t, listen)
	if !strings.Contains(c.welcome, "server_version") {
		t.Errorf("answer to the startup message: %q", c.welcome)
	}
	if got := c.ask(t, ""); !strings.Contains(got, "C57P03") {
		t.Errorf("answer without an endpoint list: %q", got)
	}
	reloadWith := func(text string, counter *metrics.Counter) {
		t.Helper()
		if err := os.WriteFile(os.Getenv("RELAY_CONFIG"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		reloadUntilCounted(t, counter)
	}
	reloadWith("{", rejectedConfigs)
	reloadWith(fmt.Sprintf(configTemplate, listen, "nowhere"), rejectedConfigs)
	if got := c.ask(t, ""); !strings.Contains(got, "C57P03") {
		t.Errorf("answer after reloads of invalid configurations: %q", got)
	}
	reloadWith(fmt.Sprintf(configTemplate, listen, strings.TrimPrefix(discovery.URL, "http://")), reloadedConfigs)
	close(sendList)
	for c.ask(t, "")[0] != 'I' {
	}
	signalSelf(t, syscall.SIGTERM)
	if got := c.ask(t, "/* id=1,c=put,d=900,cluster=3 */ INSERT"); !strings.Contains(got, "C53300") {
		t.Errorf("answer to a command received during shutdown, which never ran: %q", got)
	}
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		t.Errorf("after the last answer: %q, %v", rest, err)
	}
	c.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestInvalidConfigurationFailsStartup checks that startup with an invalid configuration fails with an error that names
// the invalid part.
func TestInvalidConfigurationFailsStartup(t *testing.T) {
	for text, want := range map[string]string{
		"": "RELAY_CONFIG", "{": "RELAY_CONFIG", `{"settings":{}}`: "no address",
		fmt.Sprintf(configTemplate, "127.0.0.1:0", "d")[:40] + "}":                               "RELAY_CONFIG",
		`{"listen":"127.0.0.1:0","discovery":"d","settings":7}`:                                  "settings",
		`{"listen":"127.0.0.1:0","discovery":"d","settings":{"round":"soon"}}`:                   "round",
		`{"listen":"127.0.0.1:0","discovery":"d","settings":{},"known":{"endpoints":[]}}`:        "known",
		`{"listen":"nowhere at all","discovery":"d","settings":{"limits":{"connIdle":"15000"}}}`: "nowhere",
	} {
		writeConfig(t, text)
		if err := Run("", TestHooks{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	t.Setenv("RELAY_CONFIG", "/nowhere")
	if err := Run("", TestHooks{}); err == nil {
		t.Error("Run succeeded without a configuration file")
	}
}

// TestKeysReplacedOnSIGHUP checks that a member that has only the new key can join once the router has reloaded the
// operator's file on SIGHUP, and that a file with faults changes nothing.
func TestKeysReplacedOnSIGHUP(t *testing.T) {
	listen, memberAddress := freeAddress(t), freeAddress(t)
	writeConfig(t, strings.Replace(fmt.Sprintf(configTemplate, listen, "127.0.0.1:1"), `"cancel":true`, `"cancel":true,"probes":true`, 1))
	path := filepath.Join(t.TempDir(), "file.sexp")
	write := func(keys ...string) {
		t.Helper()
		text := fmt.Sprintf(`(fleet (listen %q) (cluster "test") (keys %s)) (duties (instances 2))`, memberAddress, strings.Join(keys, " "))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	old, fresh := bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)
	encodeKey := func(key []byte) string { return `"` + base64.StdEncoding.EncodeToString(key) + `"` }
	write(encodeKey(old))
	ended := runInBackground(path)
	for c, err := net.Dial("tcp", listen); ; c, err = net.Dial("tcp", listen) {
		if err == nil {
			c.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	up := make(chan string, 9)
	m, err := membership.Start(membership.Settings{Name: "other", Cluster: "test", Listen: "127.0.0.1:0", Seeds: []string{memberAddress},
		Keys: [][]byte{fresh}, MaxMembers: 8, Weight: 1, Bandwidth: 1 << 20}, membership.Events{MemberUp: func(name string, _ float64, _ uint64) { up <- name },
		MemberDown: func(string, uint64, bool) {}, Updates: func([]assignment.Update) {}, Rejoined: func(int) {}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Abort()
	write("short")
	reloadUntilCounted(t, rejectedConfigs)
	select {
	case name := <-up:
		t.Fatalf("member %s joined with a wrong key", name)
	case <-time.After(700 * time.Millisecond):
	}
	write(encodeKey(fresh), encodeKey(old))
	reloadUntilCounted(t, changedKeys)
	select {
	case name := <-up:
		if name != "n0" {
			t.Error(name)
		}
	case <-time.After(15 * time.Second):
		t.Error("the router did not join with the new key")
	}
	stopRouter(t, ended)
}

// TestReleasesWithoutLeases checks that a releases part without a leases part is reported as that fault only. The part was
// once read twice, and its names were reported as unknown the second time.
func TestReleasesWithoutLeases(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.sexp")
	if err := os.WriteFile(path, []byte(`(releases (zone "a"))`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := CheckFile(path); err == nil || !strings.Contains(err.Error(), "releases without leases") || strings.Contains(err.Error(), "unknown") {
		t.Error(err)
	}
}
