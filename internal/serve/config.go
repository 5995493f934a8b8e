package serve

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"reflect"

	"cairntiller/internal/discovery"
	"cairntiller/internal/metrics"
	"cairntiller/internal/settings"
)

var (
	reloadedConfigs = metrics.New("configurations reloaded")
	rejectedConfigs = metrics.New("configurations rejected")
	changedKeys     = metrics.New("keys changed")
)

// platformConfig is the platform's configuration file, named by RELAY_CONFIG.
type platformConfig struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage // the endpoint list that the platform last had; may be older than discovery's
	Settings json.RawMessage
}

// loadedConfig is the platform's configuration with its parts decoded.
type loadedConfig struct {
	platform  platformConfig
	knownList *discovery.EndpointList // nil for none
	settings  settings.Values
}

// loadConfig reads the platform's configuration completely or not at all.
func loadConfig() (c loadedConfig, err error) {
	path := os.Getenv("RELAY_CONFIG")
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &c.platform)
	}
	if err != nil {
		return c, fmt.Errorf("RELAY_CONFIG %q: %w", path, err)
	}
	if c.settings, err = settings.FromJSON(c.platform.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if len(c.platform.Known) > 0 && string(c.platform.Known) != "null" {
		if c.knownList, err = discovery.DecodeEndpointList(c.platform.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// withEnvironment returns the configuration at start, in which the environment overrides the file. Once the file
// is reloaded it no longer does.
func (c platformConfig) withEnvironment() platformConfig {
	override := func(name string, field *string) {
		if value := os.Getenv(name); value != "" {
			*field = value
		}
	}
	override("RELAY_NAME", &c.Name)
	override("RELAY_LISTEN", &c.Listen)
	override("RELAY_DISCOVERY", &c.Discovery)
	return c
}

// reloadConfig reads the platform's configuration again. It returns it as it holds from now on, and the address of
// discovery if the file names another than before. All else takes a restart, which the log says.
func reloadConfig(current platformConfig) (effective platformConfig, movedTo string) {
	loaded, err := loadConfig()
	fresh := loaded.platform
	if err == nil {
		_, _, err = net.SplitHostPort(fresh.Discovery)
	}
	if err != nil {
		rejectedConfigs.Add()
		slog.Error("configuration rejected; the old one holds", "err", err)
		return current, ""
	}
	reloadedConfigs.Add()
	if fresh.Discovery != current.Discovery {
		movedTo = fresh.Discovery
	}
	slog.Info("configuration reloaded", "discovery", fresh.Discovery, "moved", movedTo != "")
	effective = current
	effective.Discovery = fresh.Discovery
	effective.Known = fresh.Known
	if !reflect.DeepEqual(effective, fresh) {
		slog.Warn("changes beside the address of discovery take effect at a restart")
	}
	return effective, movedTo
}
