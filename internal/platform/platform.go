// Package platform reads what the platform tells a node: the JSON file that
// GW_CONFIG names and the environment.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/discovery"
	"jasperpin/internal/limit"
	"jasperpin/internal/simproto"
)

// ErrConfig marks every complaint about the configuration.
var ErrConfig = errors.New("bad configuration")

// Config is all that a node is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Control                 string // operators' address; "" for no door
	Inherited               int    // the descriptor that listens at Listen, 0 for none
	Private                 string // $TMPDIR
	Seed                    uint64
	Limits                  limit.Machine
	Settings                decide.Settings
	DialTimeout             time.Duration
	Known                   discovery.List
	Classes                 map[string]int // their positions in the settings, by name
	Zones                   discovery.Zones

	keys map[string]bool // the paths of all that the text holds, lists apart
}

// Load reads the configuration that the environment names.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("%w: GW_CONFIG: not set", ErrConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: GW_CONFIG: %w", ErrConfig, err)
	}
	return parseConfig(text, getenv)
}

// Reload reads the configuration anew. Its addresses are the text's own:
// what the environment says is as old as the process. What the file lacks beside the
// one in force, which takes defaults at a start, shows that it was cut short.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	next, err := Load(func(name string) string {
		if name != "GW_CONFIG" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(c.keys)) {
		if !next.keys[key] {
			return nil, bad(key, "missing")
		}
	}
	return next, next.strict()
}

// strict wants what a class cannot go without.
func (c *Config) strict() error {
	for name, i := range c.Classes {
		if d := c.Settings.Classes[i].Deadline; d <= 0 {
			return bad("settings: class "+name+": deadlineMs", "%v is no time above 0", d)
		}
	}
	if c.Settings.MaxAttempts < 1 {
		return bad("settings: ceilings.maxAttempts", "%d is no number above 0", c.Settings.MaxAttempts)
	}
	return nil
}

// RestartOnly names what differs between two configurations and only a restart
// can change: listeners and budgets are laid out once.
func (c *Config) RestartOnly(next *Config) []string {
	var names []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"control", c.Control == next.Control},
		{"limits", c.Limits == next.Limits},
	} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}

func bad(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrConfig, field, fmt.Sprintf(format, args...))
}

// parseConfig reads the JSON text. The environment's name and addresses, where
// set, go before those of the text.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var raw struct {
		Name, Listen, Discovery, Seed, Control string
		Limits                                 struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings map[string]any
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if err := dec.Decode(&raw); err != nil {
		if t := (*json.UnmarshalTypeError)(nil); errors.As(err, &t) {
			return nil, bad(t.Field, "a JSON %s does not belong here", t.Value)
		}
		return nil, bad("GW_CONFIG", "not a JSON object: %v", err)
	}
	// A shorter text written over a longer one leaves the old one's end behind.
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, bad("GW_CONFIG", "more than one JSON object")
	}
	c := &Config{
		Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Control: raw.Control, Private: getenv("TMPDIR"),
		Limits:  limit.Machine{Cores: raw.Limits.Cores, Memory: int64(raw.Limits.MemoryMB) << 20, Descriptors: raw.Limits.Sockets},
		Classes: make(map[string]int), Zones: make(discovery.Zones),
	}
	for _, e := range []struct {
		name string
		dest *string
	}{{"GW_NAME", &c.Name}, {"GW_LISTEN", &c.Listen}, {"GW_DISCOVERY", &c.Discovery}, {"GW_CONTROL", &c.Control}} {
		if v := getenv(e.name); v != "" {
			*e.dest = v
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, bad("seed", "%q is not a hexadecimal number of 64 bits", raw.Seed)
	}
	if v := getenv("GW_LISTEN_FD"); v != "" {
		if c.Inherited, err = strconv.Atoi(v); err != nil || c.Inherited < 3 {
			return nil, bad("GW_LISTEN_FD", "%q is not a descriptor from 3 on", v)
		}
	}
	addrs := map[string]string{"listen": c.Listen, "discovery": c.Discovery}
	if c.Control != "" {
		addrs["control"] = c.Control
	}
	for field, addr := range addrs {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, bad(field, "%q is not an address and port", addr)
		}
	}
	switch {
	case c.Name == "":
		return nil, bad("name", "missing")
	case !(c.Limits.Cores > 0) || c.Limits.Cores > 4096:
		return nil, bad("limits.cores", "%v is not a number of cores", c.Limits.Cores)
	case raw.Limits.MemoryMB < limit.LeastMemory>>20 || raw.Limits.MemoryMB > 1<<24:
		return nil, bad("limits.memory_mb", "%d is not at least %d", raw.Limits.MemoryMB, limit.LeastMemory>>20)
	case c.Limits.Descriptors < limit.LeastDescriptors || c.Limits.Descriptors > 1<<24:
		return nil, bad("limits.sockets", "%d is not at least %d", c.Limits.Descriptors, limit.LeastDescriptors)
	case raw.Settings == nil:
		return nil, bad("settings", "missing")
	}
	if err := c.settings(raw.Settings); err != nil {
		return nil, err
	}
	c.keys = make(map[string]bool)
	var whole map[string]any
	_ = json.Unmarshal(text, &whole) // read once already
	paths("", whole, c.keys)
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.Known, err = discovery.Parse(raw.Known, c.Zones); err != nil {
			return nil, bad("known", "%v", err)
		}
	}
	return c, nil
}

// longestDial bounds how long a connection may take to come up, in milliseconds.
const longestDial = 60_000.0

// settings goes through the simulator's form, so that one parser serves both.
func (c *Config) settings(tree map[string]any) error {
	flat := make(map[string]string)
	flatten("", tree, flat)
	var text bytes.Buffer
	for _, k := range slices.Sorted(maps.Keys(flat)) {
		fmt.Fprintf(&text, "%s=%s\n", k, flat[k])
	}
	var err error
	if c.Settings, err = simproto.ParseSetup(text.Bytes()); err != nil {
		return fmt.Errorf("%w: settings: %w", ErrConfig, err)
	}
	ms := longestDial // where none is told an attempt's own time ends it
	if v, ok := flat["ceilings.dialTimeoutMs"]; ok {
		if ms, err = strconv.ParseFloat(v, 64); err != nil || !(ms > 0) || ms > longestDial {
			return bad("settings: ceilings.dialTimeoutMs", "%q is not a usable time", v)
		}
	}
	c.DialTimeout = time.Duration(ms * float64(time.Millisecond))
	// Names as they stand, and not as the simulator's form writes them: clients and discovery
	// use them so, and two may be one there.
	classes, _ := tree["classes"].([]any)
	for i := range c.Settings.Classes {
		field := fmt.Sprintf("classes.%d.name", i)
		name := ""
		if i < len(classes) {
			class, _ := classes[i].(map[string]any)
			name, _ = class["name"].(string)
		}
		if _, twice := c.Classes[name]; name == "" || twice {
			return bad("settings: "+field, "%q is missing or used twice", name)
		}
		c.Classes[name] = i
	}
	zones, _ := tree["zones"].([]any)
	for i, z := range zones {
		name, ok := z.(string)
		if _, twice := c.Zones[name]; !ok || twice {
			return bad(fmt.Sprintf("settings: zones.%d", i), "%v is no name or used twice", z)
		}
		c.Zones[name] = i
	}
	return nil
}

// paths notes the path of every key, down to the members of lists, which may be other
// ones in another file, and without the list of servers, which is news and no setting.
func paths(at string, v map[string]any, out map[string]bool) {
	for k, x := range v {
		if at == "" && k == "known" {
			continue
		}
		if out[at+k] = true; x == nil {
			delete(out, at+k)
		}
		if m, ok := x.(map[string]any); ok {
			paths(at+k+".", m, out)
		}
	}
}

// numbers are the settings that must be JSON numbers, where they stand: elsewhere the
// simulator's form tells a number from its text no more.
var numbers = []string{"deadlineMs", "maxAttempts"}

// unfit are the characters that the simulator's form cannot hold in a value.
var unfit = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_", "\t", "_")

// flatten turns a tree of settings into path=value pairs.
func flatten(path string, v any, out map[string]string) {
	join := func(k string) string {
		k = strings.ReplaceAll(unfit.Replace(k), "=", "_")
		if path == "" {
			return k
		}
		return path + "." + k
	}
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(join(k), x, out)
		}
	case []any:
		if slices.ContainsFunc(v, func(x any) bool { _, ok := x.(map[string]any); return ok }) {
			out[join("count")] = strconv.Itoa(len(v))
			for i, x := range v {
				flatten(join(strconv.Itoa(i)), x, out)
			}
			return
		}
		words := make([]string, len(v))
		for i, x := range v {
			words[i] = unfit.Replace(fmt.Sprint(x))
		}
		out[path] = strings.Join(words, ",")
	case nil:
	case string:
		if slices.ContainsFunc(numbers, func(k string) bool { return strings.HasSuffix(path, "."+k) }) {
			v = strconv.Quote(v) // a number's text is no number
		}
		out[path] = unfit.Replace(v)
	default:
		out[path] = unfit.Replace(fmt.Sprint(v))
	}
}
