package config

import "jasperpin/internal/mtls"

// maxPlanners is the maximum number of planners of a forwarder, since each gets a report of every attempt.
const maxPlanners = 8

// Planning are the settings of connections between forwarders and planners; zero for a standalone node.
type Planning struct {
	Listen   []string // only for a planner: its addresses for forwarders
	Planners []string // only for a forwarder: addresses of its planners, in the order of preference
	Files    mtls.Files
}

// readPlanning reads [planning].
func (c *Config) readPlanning(root *table) {
	if c.Role == Standalone {
		if root.values["planning"] != nil {
			root.get("planning")
			root.fail("planning", "is not allowed for the role \"node\": want role = \"forwarder\" or \"planner\" under [node], or no [planning]")
		}
		return
	}
	t := root.table("planning")
	planning := Planning{Files: readFiles(t)}
	addresses, addressKey := &planning.Planners, "planners"
	otherKey := "listen" // the key of the other role
	if c.Role == Planner {
		addresses, addressKey, otherKey = &planning.Listen, "listen", "planners"
	}
	*addresses = t.texts(addressKey, "an address and port such as 127.0.0.1:7700", isAddress)
	if root.values["planning"] == nil {
		root.fail("planning", "is missing: a %s needs [planning] with %s, certificate, key and authorities", c.Role, addressKey)
	} else {
		t.require(addressKey, "certificate", "key", "authorities")
	}
	if n := len(*addresses); n > maxPlanners {
		t.fail(addressKey, "has %d entries: want at most %d", n, maxPlanners)
	}
	if t.values[otherKey] != nil {
		t.get(otherKey)
		t.fail(otherKey, "is not allowed for a %s: want %s", c.Role, addressKey)
	}
	t.reportUnknownKeys()
	c.Planning = planning
}
