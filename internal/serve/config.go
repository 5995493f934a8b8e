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

// platformConfig is the platform's configuration file, whose path is in RELAY_CONFIG.
type platformConfig struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage // the last endpoint list that the platform had; may be older than discovery's
	Settings json.RawMessage
}

// loadedConfig is the platform's configuration with its settings and endpoint list decoded.
type loadedConfig struct {
	platform  platformConfig
	knownList *discovery.EndpointList // nil if the file has none
	settings  settings.Values
}

// loadConfig reads and decodes the platform's configuration; any error rejects all of it.
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

// withEnvironment returns the configuration used at startup, with the environment variables' overrides applied. They do
// not apply to a reloaded file.
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

// reloadConfig reads the platform's configuration again. It returns the configuration in effect from now on, and
// discovery's new address if it changed, otherwise "". All other changes need a restart, and a warning is logged.
func reloadConfig(current platformConfig) (effective platformConfig, newDiscovery string) {
	loaded, err := loadConfig()
	updated := loaded.platform
	if err == nil {
		_, _, err = net.SplitHostPort(updated.Discovery)
	}
	if err != nil {
		rejectedConfigs.Add()
		slog.Error("configuration rejected; keeping the previous one", "err", err)
		return current, ""
	}
	reloadedConfigs.Add()
	if updated.Discovery != current.Discovery {
		newDiscovery = updated.Discovery
	}
	slog.Info("configuration reloaded", "discovery", updated.Discovery, "moved", newDiscovery != "")
	effective = current
	effective.Discovery = updated.Discovery
	effective.Known = updated.Known
	if !reflect.DeepEqual(effective, updated) {
		slog.Warn("configuration changes other than the address of discovery take effect only after a restart")
	}
	return effective, newDiscovery
}
