package config

import "jasperpin/internal/mtls"

// maxPlanners bounds the planners of a forwarder, since each gets a report of every attempt.
const maxPlanners = 8

// Planning is how forwarders and planners meet; zero with a standalone node.
type Planning struct {
	Listen   []string // a planner's addresses, for forwarders
	Planners []string // a forwarder's planners, in the order of preference
	Files    mtls.Files
}

// readPlanning reads [planning].
func (c *Config) readPlanning(root *table) {
	if c.Role == Standalone {
		if root.values["planning"] != nil {
			root.get("planning")
			root.fail("planning", "is not allowed with the role \"node\": want role = \"forwarder\" or \"planner\" under [node], or no [planning]")
		}
		return
	}
	t := root.table("planning")
	p := Planning{Files: readFiles(t)}
	addresses, addressKey := &p.Planners, "planners"
	otherKey := "listen" // which the other role has
	if c.Role == Planner {
		addresses, addressKey, otherKey = &p.Listen, "listen", "planners"
	}
	*addresses = t.texts(addressKey, "an address and port such as 127.0.0.1:7700", isAddress)
	if root.values["planning"] == nil {
		root.fail("planning", "is missing: a %s wants [planning] with %s, certificate, key and authorities", c.Role, addressKey)
	} else {
		t.require(addressKey, "certificate", "key", "authorities")
	}
	if n := len(*addresses); n > maxPlanners {
		t.fail(addressKey, "has %d entries: want %d at the most", n, maxPlanners)
	}
	if t.values[otherKey] != nil {
		t.get(otherKey)
		t.fail(otherKey, "is not a %s's: want %s", c.Role, addressKey)
	}
	t.done()
	c.Planning = p
}
