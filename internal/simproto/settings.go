package simproto

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"jasperpin/decide"
)

// ErrSettings is wrapped by every error about the settings of an instance.
var ErrSettings = errors.New("invalid settings")

const (
	maxClasses = 256
	// defaultPollPeriodMs is used if the settings contain no poll period. It only bounds waits; no list
	// is treated as current for that long.
	defaultPollPeriodMs = 10000
)

// ParseSettings parses the settings of an instance, one key=value pair per line. It ignores unknown keys.
// A known key with an invalid value, a line without '=' and settings without classes are errors. A class
// without an idempotency or a dedup scope gets the strictest one.
func ParseSettings(text []byte) (decide.Settings, error) {
	p := settingsParser{values: make(map[string]string)}
	p.readPairs(text)
	classes := p.count("classes.count", 0, maxClasses)
	if p.err == nil && classes == 0 {
		p.fail("classes.count", "missing or 0; a node needs at least one class")
	}
	settings := p.settings()
	for i := range classes {
		settings.Classes = append(settings.Classes, p.class(fmt.Sprintf("classes.%d.", i)))
	}
	return settings, p.err
}

// settingsParser parses values by key. It stores the first error.
type settingsParser struct {
	values map[string]string
	err    error
}

func (p *settingsParser) readPairs(text []byte) {
	for n, line := range bytes.Split(text, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		key, value, ok := bytes.Cut(line, []byte{'='})
		if !ok || len(key) == 0 {
			p.fail(fmt.Sprintf("line %d", n+1), "not of the form key=value")
			return
		}
		p.values[string(key)] = string(value)
	}
}

// settings parses all settings except the classes.
func (p *settingsParser) settings() decide.Settings {
	settings := decide.Settings{
		NodeIndex: p.count("myNumber", 0, math.MaxUint16),
		NodeCount: max(1, p.count("nInstances", 1, math.MaxUint16)),
		Zone:      p.count("az", 0, math.MaxUint8),
		ZoneCount: 1 + strings.Count(p.values["zones"], ","),

		PollDiscovery:  p.choice("discovery", 0, "push", "ask") == 1,
		PollPeriod:     p.milliseconds("rules.askWithinMs", defaultPollPeriodMs),
		MaxAttempts:    p.count("ceilings.maxAttempts", 1, math.MaxUint16),
		Hedging:        p.flag("ceilings.secondCopies"),
		CancelAttempts: p.flag("ceilings.cancel"),
		WeightByWork:   p.choice("valueBy", 0, "request", "work") == 1,
		KeyAffinity:    p.flag("familyInfo.warmKeys"),

		OverloadMultiple: p.number("rules.fallMultiple", 1),
		SlowStartShare:   p.number("rules.startCapacity", 1),
		SlowStartWindow:  p.milliseconds("rules.warmWithinMs", 0),

		CrossZoneCost:      p.number("costs.crossZone", 0),
		HandshakeCost:      p.number("costs.handshake", 0),
		OpenConnectionCost: p.number("costs.connection", 0),
		IdleTimeout:        p.milliseconds("ceilings.keepaliveMs", 0),
	}
	if p.flag("ceilings.retryAfter") {
		settings.MaxRetryAfter = p.milliseconds("ceilings.maxRetryAfterMs", 0)
	}
	return settings
}

// class parses the class whose keys have the given prefix.
func (p *settingsParser) class(prefix string) decide.Class {
	idempotency := p.choice(prefix+"effect", int(decide.NotIdempotent), "free", "guarded", "single_shot")
	scope := p.choice(prefix+"dedupScope", int(decide.DedupCell), "all", "zone", "cell")
	return decide.Class{
		Idempotency:         decide.Idempotency(idempotency),
		DedupScope:          decide.DedupScope(scope),
		DedupWindow:         p.milliseconds(prefix+"windowMs", 0),
		LatencyObjective:    p.milliseconds(prefix+"objectiveMs", 0),
		Deadline:            p.milliseconds(prefix+"deadlineMs", 0),
		ObjectiveWorkFactor: p.number(prefix+"aimStretch", 0),
		PriorityWeight:      p.number(prefix+"gain", 1),
		LatePriorityWeight:  p.number(prefix+"lateWorth", 0),
	}
}

func (p *settingsParser) fail(key, reason string) {
	if p.err == nil {
		p.err = fmt.Errorf("%w: %s: %s", ErrSettings, key, reason)
	}
}

func (p *settingsParser) number(key string, defaultValue float64) float64 {
	text, ok := p.values[key]
	if !ok {
		return defaultValue
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > maxMillis {
		p.fail(key, fmt.Sprintf("%q is not a number or out of range", text))
		return defaultValue
	}
	return v
}

func (p *settingsParser) count(key string, defaultValue, maximum int) int {
	v := p.number(key, float64(defaultValue))
	if v < 0 || v > float64(maximum) || v != math.Trunc(v) {
		p.fail(key, fmt.Sprintf("%v is not an integer from 0 to %d", v, maximum))
		return defaultValue
	}
	return int(v)
}

func (p *settingsParser) milliseconds(key string, defaultValue float64) time.Duration {
	return time.Duration(math.Round(p.number(key, defaultValue) * 1e6))
}

func (p *settingsParser) flag(key string) bool {
	switch v := p.values[key]; v {
	case "true":
		return true
	case "", "false":
		return false
	default:
		p.fail(key, fmt.Sprintf("%q is neither true nor false", v))
		return false
	}
}

// choice returns the index of a key's value among words.
func (p *settingsParser) choice(key string, defaultValue int, words ...string) int {
	v, ok := p.values[key]
	if !ok {
		return defaultValue
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	p.fail(key, fmt.Sprintf("%q is not one of %s", v, strings.Join(words, ", ")))
	return defaultValue
}
