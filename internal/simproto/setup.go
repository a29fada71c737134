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

// ErrSetup marks every complaint about the settings of a launch.
var ErrSetup = errors.New("bad settings")

type setup struct {
	values map[string]string
	err    error
}

func (s *setup) fail(key, why string) {
	if s.err == nil {
		s.err = fmt.Errorf("%w: %s: %s", ErrSetup, key, why)
	}
}

func (s *setup) num(key string, def float64) float64 {
	v, ok := s.values[key]
	if !ok {
		return def
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || math.Abs(f) > maxMillis {
		s.fail(key, fmt.Sprintf("%q is not a usable number", v))
		return def
	}
	return f
}

func (s *setup) count(key string, def, most int) int {
	f := s.num(key, float64(def))
	if f < 0 || f > float64(most) || f != math.Trunc(f) {
		s.fail(key, fmt.Sprintf("%v is not a whole number from 0 to %d", f, most))
		return def
	}
	return int(f)
}

func (s *setup) ms(key string, def float64) time.Duration {
	return time.Duration(math.Round(s.num(key, def) * 1e6))
}

func (s *setup) flag(key string) bool {
	switch v := s.values[key]; v {
	case "true":
		return true
	case "", "false":
		return false
	default:
		s.fail(key, fmt.Sprintf("%q is neither true nor false", v))
		return false
	}
}

func (s *setup) choice(key string, def int, words ...string) int {
	v, ok := s.values[key]
	if !ok {
		return def
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	s.fail(key, fmt.Sprintf("%q is not one of %s", v, strings.Join(words, ", ")))
	return def
}

// ParseSetup reads the settings of a launch: one path=value pair a line.
// Unknown keys are ignored; a known key with a value that makes no sense, a
// line without '=' and a set without classes are errors.
func ParseSetup(text []byte) (decide.Settings, error) {
	s := setup{values: make(map[string]string)}
	for n, line := range bytes.Split(text, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		key, value, ok := bytes.Cut(line, []byte{'='})
		if !ok || len(key) == 0 {
			s.fail(fmt.Sprintf("line %d", n+1), "not of the form path=value")
			break
		}
		s.values[string(key)] = string(value)
	}
	nClasses := s.count("classes.count", 0, 256)
	if s.err == nil && nClasses == 0 {
		s.fail("classes.count", "missing or 0: a node needs a class to serve")
	}
	set := decide.Settings{
		NodeIndex: s.count("myNumber", 0, math.MaxUint16),
		NodeCount: max(1, s.count("nInstances", 1, math.MaxUint16)),
		Zone:      s.count("az", 0, math.MaxUint8),
		ZoneCount: 1 + strings.Count(s.values["zones"], ","),

		PollDiscovery:  s.choice("discovery", 0, "push", "ask") == 1,
		PollPeriod:     s.ms("rules.askWithinMs", 10000),
		MaxAttempts:    s.count("ceilings.maxAttempts", 1, math.MaxUint16),
		Hedging:        s.flag("ceilings.secondCopies"),
		CancelAttempts: s.flag("ceilings.cancel"),
		WeightByWork:   s.choice("valueBy", 0, "request", "work") == 1,
		KeyAffinity:    s.flag("familyInfo.warmKeys"),

		OverloadMultiple: s.num("rules.fallMultiple", 1),
		SlowStartShare:   s.num("rules.startCapacity", 1),
		SlowStartWindow:  s.ms("rules.warmWithinMs", 0),

		CrossZoneCost:      s.num("costs.crossZone", 0),
		HandshakeCost:      s.num("costs.handshake", 0),
		OpenConnectionCost: s.num("costs.connection", 0),
		IdleTimeout:        s.ms("ceilings.keepaliveMs", 0),
	}
	if s.flag("ceilings.retryAfter") {
		set.MaxRetryAfter = s.ms("ceilings.maxRetryAfterMs", 0)
	}
	for i := range nClasses {
		p := fmt.Sprintf("classes.%d.", i)
		set.Classes = append(set.Classes, decide.Class{
			Idempotency:         decide.Idempotency(s.choice(p+"effect", int(decide.NotIdempotent), "free", "guarded", "single_shot")),
			DedupScope:          decide.DedupScope(s.choice(p+"dedupScope", int(decide.DedupCell), "all", "zone", "cell")),
			DedupWindow:         s.ms(p+"windowMs", 0),
			LatencyObjective:    s.ms(p+"objectiveMs", 0),
			Deadline:            s.ms(p+"deadlineMs", 0),
			ObjectiveWorkFactor: s.num(p+"aimStretch", 0),
			PriorityWeight:      s.num(p+"gain", 1),
			LatePriorityWeight:  s.num(p+"lateWorth", 0),
		})
	}
	return set, s.err
}
