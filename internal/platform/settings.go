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

// maxDialTimeoutMS bounds how long a connection may take, in milliseconds. It also applies where no time-out is
// configured: the attempt's own time-out ends the wait long before.
const maxDialTimeoutMS = 60_000.0

// readSettings reads the tree of settings. It is rewritten in the simulator's form, so that one parser serves
// both.
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

// dialTimeout reads the time-out of a connection to a server.
func dialTimeout(flat map[string]string) (time.Duration, error) {
	milliseconds := maxDialTimeoutMS
	if text, ok := flat["ceilings.dialTimeoutMs"]; ok {
		var err error
		milliseconds, err = strconv.ParseFloat(text, 64)
		valid := milliseconds > 0 && milliseconds <= maxDialTimeoutMS // false for NaN, too
		if err != nil || !valid {
			return 0, fieldError("settings: ceilings.dialTimeoutMs", "%q is not a usable time", text)
		}
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), nil
}

// readClassNames reads the classes' names as they are in the file, and not as the simulator's form writes them:
// clients use them so, and two different names may be the same in that form.
func (c *Config) readClassNames(tree map[string]any) error {
	classes, _ := tree["classes"].([]any)
	for i := range c.Settings.Classes {
		name := ""
		if i < len(classes) {
			class, _ := classes[i].(map[string]any)
			name, _ = class["name"].(string)
		}
		if _, twice := c.Classes[name]; name == "" || twice {
			return fieldError(fmt.Sprintf("settings: classes.%d.name", i), "%q is missing or used twice", name)
		}
		c.Classes[name] = i
	}
	return nil
}

// readZoneNames reads the zones' names as they are in the file, which is how discovery writes them.
func (c *Config) readZoneNames(tree map[string]any) error {
	zones, _ := tree["zones"].([]any)
	for i, zone := range zones {
		name, ok := zone.(string)
		if _, twice := c.Zones[name]; !ok || twice {
			return fieldError(fmt.Sprintf("settings: zones.%d", i), "%v is no name or used twice", zone)
		}
		c.Zones[name] = i
	}
	return nil
}

// numericSettings are the settings that must be JSON numbers. In the simulator's form a number and its text are
// the same, so their texts are quoted there and not accepted.
var numericSettings = []string{"deadlineMs", "maxAttempts"}

// forbiddenCharacters replaces the characters that a value in the simulator's form cannot have.
var forbiddenCharacters = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_", "\t", "_")

// flatten adds a tree of settings to pairs of path and value, in the simulator's form.
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

// flattenList adds a list: one with objects as a count and its elements, any other as words with commas.
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
