package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"strconv"

	"jasperpin/internal/discovery"
	"jasperpin/internal/limit"
)

const (
	// maxCores limits limits.cores: no machine has more.
	maxCores = 4096
	// maxLimit limits limits.memory_mb and limits.sockets, so that sums of them do not overflow.
	maxLimit = 1 << 24
	// firstInheritedDescriptor is the first descriptor after standard input, output and error.
	firstInheritedDescriptor = 3
	// bytesPerMBShift is the binary logarithm of the number of bytes in an MB (2^20).
	bytesPerMBShift = 20
)

// rawConfig is the decoded JSON text. Keys are matched regardless of case.
type rawConfig struct {
	Name      string          `json:"Name"`
	Listen    string          `json:"Listen"`
	Discovery string          `json:"Discovery"`
	Seed      string          `json:"Seed"` // hexadecimal number
	Control   string          `json:"Control"`
	Limits    rawLimits       `json:"Limits"`
	Known     json.RawMessage `json:"Known"` // endpoint list in discovery's format
	Settings  map[string]any  `json:"Settings"`
}

type rawLimits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"Sockets"`
}

// parseConfig parses the JSON text and applies the environment. Its error wraps ErrConfig.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	raw, err := decode(text)
	if err != nil {
		return nil, err
	}
	config := &Config{
		Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, AdminAddress: raw.Control,
		TempDir: getenv(envTempDir),
		Limits: limit.Machine{
			Cores: raw.Limits.Cores, Memory: int64(raw.Limits.MemoryMB) << bytesPerMBShift,
			Descriptors: raw.Limits.Sockets,
		},
		Classes: make(map[string]int), Zones: make(discovery.Zones),
		paths: keyPaths(text),
	}
	if config.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fieldError("seed", "%q is not a hexadecimal number of 64 bits", raw.Seed)
	}
	if err := config.applyEnvironment(getenv); err != nil {
		return nil, err
	}
	if err := config.checkAddresses(); err != nil {
		return nil, err
	}
	if err := config.checkPresent(raw); err != nil {
		return nil, err
	}
	if err := config.readSettings(raw.Settings); err != nil {
		return nil, err
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if config.KnownEndpoints, err = discovery.ParseList(raw.Known, config.Zones); err != nil {
			return nil, fieldError("known", "%v", err)
		}
	}
	return config, nil
}

// decode decodes the JSON text, which must be a single object: if a shorter text was written over a longer one,
// the end of the longer one remains in the file.
func decode(text []byte) (*rawConfig, error) {
	var raw rawConfig
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&raw); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, fieldError(wrongType.Field, "a JSON %s is not valid here", wrongType.Value)
		}
		return nil, fieldError(envConfig, "not a JSON object: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fieldError(envConfig, "more than one JSON object")
	}
	return &raw, nil
}

// applyEnvironment applies the variables that override the file.
func (c *Config) applyEnvironment(getenv func(string) string) error {
	for _, e := range []struct {
		name  string
		field *string
	}{
		{envName, &c.Name},
		{envListen, &c.Listen},
		{envDiscovery, &c.Discovery},
		{envControl, &c.AdminAddress},
	} {
		if v := getenv(e.name); v != "" {
			*e.field = v
		}
	}
	v := getenv(envListenFD)
	if v == "" {
		return nil
	}
	var err error
	if c.ListenDescriptor, err = strconv.Atoi(v); err != nil || c.ListenDescriptor < firstInheritedDescriptor {
		return fieldError(envListenFD, "%q is not a descriptor of at least 3", v)
	}
	return nil
}

func (c *Config) checkAddresses() error {
	addresses := map[string]string{"listen": c.Listen, "discovery": c.Discovery}
	if c.AdminAddress != "" {
		addresses["control"] = c.AdminAddress
	}
	for field, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fieldError(field, "%q is not an address and port", address)
		}
	}
	return nil
}

// checkPresent checks that required fields are present, and that the limits are within their bounds.
func (c *Config) checkPresent(raw *rawConfig) error {
	const minMemoryMB = limit.MinNodeMemory >> bytesPerMBShift
	validCores := c.Limits.Cores > 0 && c.Limits.Cores <= maxCores // the comparison is false for NaN as well
	switch {
	case c.Name == "":
		return fieldError("name", "missing")
	case !validCores:
		return fieldError("limits.cores", "%v is not a number of cores", c.Limits.Cores)
	case raw.Limits.MemoryMB < minMemoryMB || raw.Limits.MemoryMB > maxLimit:
		return fieldError("limits.memory_mb", "%d is not at least %d", raw.Limits.MemoryMB, minMemoryMB)
	case c.Limits.Descriptors < limit.MinNodeDescriptors || c.Limits.Descriptors > maxLimit:
		return fieldError("limits.sockets", "%d is not at least %d", c.Limits.Descriptors, limit.MinNodeDescriptors)
	case raw.Settings == nil:
		return fieldError("settings", "missing")
	}
	return nil
}

// keyPaths returns the paths of all keys in a JSON object. It skips the endpoint list, which is data and not a
// setting, and keys within lists, whose elements may differ in another file.
func keyPaths(text []byte) map[string]bool {
	var object map[string]any
	_ = json.Unmarshal(text, &object) // decode has accepted the text
	delete(object, "known")
	paths := make(map[string]bool)
	addKeyPaths("", object, paths)
	return paths
}

// addKeyPaths adds the paths of an object's keys. A key with the value null counts as missing.
func addKeyPaths(prefix string, object map[string]any, paths map[string]bool) {
	for key, value := range object {
		if value != nil {
			paths[prefix+key] = true
		}
		if inner, ok := value.(map[string]any); ok {
			addKeyPaths(prefix+key+".", inner, paths)
		}
	}
}
