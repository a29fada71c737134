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

// Environment variables. The variables for the name and the addresses override the file.
const (
	envConfig    = "GW_CONFIG" // path of the configuration file
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
	envControl   = "GW_CONTROL"
	envListenFD  = "GW_LISTEN_FD" // an inherited descriptor of a listening socket
	envTempDir   = "TMPDIR"
)

// ErrConfig is wrapped by every error about a configuration.
var ErrConfig = errors.New("invalid configuration")

// fieldError returns an error that wraps ErrConfig and names the field.
func fieldError(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrConfig, field, fmt.Sprintf(format, args...))
}

// Config is a node's configuration.
type Config struct {
	Name             string
	Listen           string // address of the listener for clients
	Discovery        string // address of the discovery service
	AdminAddress     string // address of the admin server; "" for none
	ListenDescriptor int    // inherited descriptor of a socket that listens on Listen; 0 for none
	TempDir          string // the node's private directory, from $TMPDIR; "" if that is not set
	Seed             uint64
	Limits           limit.Machine
	Settings         decide.Settings
	DialTimeout      time.Duration  // timeout for connecting to a server
	KnownEndpoints   discovery.List // the last endpoint list that the platform has received
	Classes          map[string]int // indexes in Settings.Classes, by class name
	Zones            discovery.Zones

	paths map[string]bool // paths of all keys in the file, except keys within lists
}

// Load reads the configuration from the file and variables that the environment specifies. Its error wraps
// ErrConfig.
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

// Reload reads the configuration file again. It ignores the variables that override the file, since the
// environment is as old as the process. If a setting of c is missing in the new file, Reload returns an error:
// the file was truncated, and a default must not replace the setting. Its error wraps ErrConfig.
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

// checkRequired checks the settings that are required to serve any class.
func (c *Config) checkRequired() error {
	for name, i := range c.Classes {
		if d := c.Settings.Classes[i].Deadline; d <= 0 {
			return fieldError("settings: class "+name+": deadlineMs", "%v is not above 0", d)
		}
	}
	if c.Settings.MaxAttempts < 1 {
		return fieldError("settings: ceilings.maxAttempts", "%d is not above 0", c.Settings.MaxAttempts)
	}
	return nil
}

// FieldsNeedingRestart returns the names of the fields that differ between two configurations and take effect only
// after a restart, because listeners and limits are set up once.
func (c *Config) FieldsNeedingRestart(next *Config) []string {
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
