package platform

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"jasperpin/internal/simproto"
)

// maxDialTimeoutMS limits the time for connecting to a server, in milliseconds. It is also the default: the
// attempt's own timeout ends the wait long before.
const maxDialTimeoutMS = 60_000.0

// readSettings reads the tree of settings. It converts the tree to the simulator's format, so that one parser
// reads both.
func (c *Config) readSettings(tree map[string]any) error {
	flat := make(map[string]string)
	flatten("", tree, flat)
	var text bytes.Buffer
	for _, path := range slices.Sorted(maps.Keys(flat)) {
		fmt.Fprintf(&text, "%s=%s\n", path, flat[path])
	}
	var err error
	if c.Settings, err = simproto.ParseSettings(text.Bytes()); err != nil {
		return fmt.Errorf("%w: settings: %w", ErrConfig, err)
	}
	if c.DialTimeout, err = dialTimeout(flat); err != nil {
		return err
	}
	if err := c.readClassNames(tree); err != nil {
		return err
	}
	return c.readZoneNames(tree)
}

// dialTimeout returns the timeout for connecting to a server.
func dialTimeout(flat map[string]string) (time.Duration, error) {
	milliseconds := maxDialTimeoutMS
	if text, ok := flat["ceilings.dialTimeoutMs"]; ok {
		var err error
		milliseconds, err = strconv.ParseFloat(text, 64)
		valid := milliseconds > 0 && milliseconds <= maxDialTimeoutMS // the comparison is false for NaN as well
		if err != nil || !valid {
			return 0, fieldError("settings: ceilings.dialTimeoutMs", "%q is not a valid timeout", text)
		}
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), nil
}

// readClassNames reads the names of the classes as they are in the file, and not as converted to the
// simulator's format: clients use the names from the file, and two different names may be equal after the
// conversion.
func (c *Config) readClassNames(tree map[string]any) error {
	classes, _ := tree["classes"].([]any)
	for i := range c.Settings.Classes {
		name := ""
		if i < len(classes) {
			class, _ := classes[i].(map[string]any)
			name, _ = class["name"].(string)
		}
		if _, twice := c.Classes[name]; name == "" || twice {
			return fieldError(fmt.Sprintf("settings: classes.%d.name", i), "got %q, want a unique name", name)
		}
		c.Classes[name] = i
	}
	return nil
}

// readZoneNames reads the names of the zones as they are in the file, since discovery uses the same names.
func (c *Config) readZoneNames(tree map[string]any) error {
	zones, _ := tree["zones"].([]any)
	for i, zone := range zones {
		name, ok := zone.(string)
		if _, twice := c.Zones[name]; !ok || twice {
			return fieldError(fmt.Sprintf("settings: zones.%d", i), "got %v, want a unique name", zone)
		}
		c.Zones[name] = i
	}
	return nil
}

// numericSettings are the settings that must be JSON numbers. In the simulator's format a number and a string
// of its digits are the same, so strings are quoted for these settings, and the parser rejects them.
var numericSettings = []string{"deadlineMs", "maxAttempts"}

// forbiddenCharacters replaces the characters that are not allowed in values of the simulator's format.
var forbiddenCharacters = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_", "\t", "_")

// flatten adds a tree of settings to flat, as values by path in the simulator's format.
func flatten(path string, value any, flat map[string]string) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			flatten(joinPath(path, key), inner, flat)
		}
	case []any:
		flattenList(path, value, flat)
	case nil:
	case string:
		isNumeric := func(name string) bool { return strings.HasSuffix(path, "."+name) }
		if slices.ContainsFunc(numericSettings, isNumeric) {
			value = strconv.Quote(value)
		}
		flat[path] = forbiddenCharacters.Replace(value)
	default:
		flat[path] = forbiddenCharacters.Replace(fmt.Sprint(value))
	}
}

// flattenList adds a list to flat: a list with objects as a count and its elements, any other list as words
// separated by commas.
func flattenList(path string, list []any, flat map[string]string) {
	isObject := func(x any) bool { _, ok := x.(map[string]any); return ok }
	if slices.ContainsFunc(list, isObject) {
		flat[joinPath(path, "count")] = strconv.Itoa(len(list))
		for i, element := range list {
			flatten(joinPath(path, strconv.Itoa(i)), element, flat)
		}
		return
	}
	words := make([]string, len(list))
	for i, element := range list {
		words[i] = forbiddenCharacters.Replace(fmt.Sprint(element))
	}
	flat[path] = strings.Join(words, ",")
}

// joinPath appends a key to a path.
func joinPath(path, key string) string {
	key = strings.ReplaceAll(forbiddenCharacters.Replace(key), "=", "_")
	if path == "" {
		return key
	}
	return path + "." + key
}
