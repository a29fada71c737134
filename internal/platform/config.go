package platform

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/discovery"
	"jasperpin/internal/limit"
)

// Environment variables. Those of the name and the addresses take precedence over the file.
const (
	envConfig    = "GW_CONFIG" // path of the file
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
	envControl   = "GW_CONTROL"
	envListenFD  = "GW_LISTEN_FD" // an inherited descriptor that listens already
	envTempDir   = "TMPDIR"
)

// ErrConfig marks every error of a configuration.
var ErrConfig = errors.New("bad configuration")

// fieldError returns an error that wraps ErrConfig and names the field.
func fieldError(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrConfig, field, fmt.Sprintf(format, args...))
}

// Config is a node's configuration.
type Config struct {
	Name             string
	Listen           string // address for clients
	Discovery        string // address of the discovery service
	AdminAddress     string // address for operators; "" for none
	ListenDescriptor int    // an inherited descriptor that listens at Listen; 0 for none
	TempDir          string // a directory of the node's own, from $TMPDIR; "" where that is not set
	Seed             uint64
	Limits           limit.Machine
	Settings         decide.Settings
	DialTimeout      time.Duration  // of one connection to a server
	KnownEndpoints   discovery.List // the endpoint list that the platform has seen last
	Classes          map[string]int // the classes' indexes in Settings.Classes, by name
	Zones            discovery.Zones

	paths map[string]bool // of all keys in the text, except for those within lists
}

// Load reads the configuration that the environment names. Its error wraps ErrConfig.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, fieldError(envConfig, "not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrConfig, envConfig, err)
	}
	return parseConfig(text, getenv)
}

// Reload reads the configuration again. Its addresses are those of the file, since the environment is as old as
// the process. A setting that is in the configuration in force and missing now is an error: the file was cut
// short, and a default must not take its place. Its error wraps ErrConfig.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	next, err := Load(func(name string) string {
		if name != envConfig {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	for _, path := range slices.Sorted(maps.Keys(c.paths)) {
		if !next.paths[path] {
			return nil, fieldError(path, "missing")
		}
	}
	return next, next.checkRequired()
}

// checkRequired checks the settings without which no class can be served.
func (c *Config) checkRequired() error {
	for name, i := range c.Classes {
		if d := c.Settings.Classes[i].Deadline; d <= 0 {
			return fieldError("settings: class "+name+": deadlineMs", "%v is no time above 0", d)
		}
	}
	if c.Settings.MaxAttempts < 1 {
		return fieldError("settings: ceilings.maxAttempts", "%d is no number above 0", c.Settings.MaxAttempts)
	}
	return nil
}

// RestartOnly names the fields that differ between two configurations and take effect at a restart only:
// listeners and limits are set up once.
func (c *Config) RestartOnly(next *Config) []string {
	var names []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"control", c.AdminAddress == next.AdminAddress},
		{"limits", c.Limits == next.Limits},
	} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}
