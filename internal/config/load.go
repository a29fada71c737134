package config

import (
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"jasperpin/internal/limit"
)

// Bounds of what a file may ask for. They keep a mistake, such as a unit too large, from being
// put in force, and a file from exhausting the node's memory.
const (
	maxFileBytes    = 32 << 20  // a file of the product's full size with every key set has 24 MB
	maxEntries      = 10_000    // services, pools, routes, servers, classes, tenants: of each
	maxDuration     = time.Hour // of any time in a file, unless its key has a bound of its own
	maxRate         = 1e9       // requests a second
	maxRequestsHeld = 1 << 24   // places, and requests in a queue
	maxCores        = 4096
	minCores        = 0.01
	maxMemoryBytes  = 1 << 44
	maxDescriptors  = 1 << 24
)

// Defaults of the limits: a small virtual machine.
const (
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 1024
)

// Load reads a file. Names of files in it are relative to its directory. Its error is Errors where the
// text is at fault.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(filepath.Base(path), text)
	if err != nil {
		return nil, err
	}
	resolvePaths(filepath.Dir(path),
		&c.Planning.Files.Certificate, &c.Planning.Files.Key, &c.Planning.Files.Authorities,
		&c.Cluster.Files.Certificate, &c.Cluster.Files.Key, &c.Cluster.Files.Authorities, &c.Cluster.Directory,
		&c.Keys.File, &c.Members.Directory,
		&c.Remote.Files.Certificate, &c.Remote.Files.Key, &c.Remote.Files.Authorities, &c.Remote.Directory,
	)
	return c, nil
}

// resolvePaths makes names of files relative to a directory; "" stays.
func resolvePaths(directory string, names ...*string) {
	for _, name := range names {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(directory, *name)
		}
	}
}

// Parse reads a file's text. The name is the file's in errors, which are Errors.
func Parse(name string, text []byte) (*Config, error) {
	r, root := open(name, text)
	if root == nil {
		return nil, r.result()
	}
	return readRoot(r, root)
}

// readRoot reads a file by its tables.
func readRoot(r *reader, root *table) (*Config, error) {
	c := &Config{PoolsShareLimits: true}
	c.readNode(root)
	c.readLimits(root)
	c.readPlanning(root)
	c.readKeys(root)
	c.readCluster(root)
	c.readMembers(root)
	c.readRemote(root)
	if !c.Remote.Enabled() {
		c.readPoolsAndServices(root, func(*table) {})
		c.checkServices(root)
	}
	root.done()
	root.decodeUnread()
	c.checkRoutes(r)
	return c, r.result()
}

// readNode reads [node].
func (c *Config) readNode(root *table) {
	t := root.table("node")
	c.Name = t.name("node")
	c.Listen = t.texts("listen", "an address and port such as 127.0.0.1:8080", isAddress)
	c.Role = Role(t.choice("role", string(Standalone), string(Standalone), string(Forwarder), string(Planner)))
	if c.Role == Forwarder && t.values["name"] == nil {
		t.fail("name", "is missing: want one that no other forwarder of the tier has")
	}
	switch {
	case c.Role == Planner && len(c.Listen) > 0:
		t.fail("listen", "is not allowed with a planner, which serves no clients: want planning.listen alone")
	case t.values != nil && len(c.Listen) == 0 && c.Role != Planner:
		t.fail("listen", "is missing: want one address and port or more, such as [\"127.0.0.1:8080\"]")
	}
	c.AdminAddress = t.text("control", "", "an address and port such as 127.0.0.1:9800, or unix:/PATH", isAdminAddress)
	c.PrivateDirectory = t.text("private", "", "the absolute path of a folder", filepath.IsAbs)
	c.readNumber(root, t)
	c.Seed = uint64(t.count("seed", 0, 0, math.MaxInt32)) ^ seedOf(c.Name, c.NodeIndex)
	if root.values["node"] == nil {
		root.fail("node", "is missing: want a table [node] with name and listen")
	}
	t.done()
}

// readNumber reads the node's number among others, which [members] gives instead where it is there.
func (c *Config) readNumber(root, t *table) {
	c.NodeIndex, c.NodeCount = t.count("number", 0, 0, math.MaxUint16), t.count("nodes", 1, 1, math.MaxUint16)
	for _, key := range []string{"number", "nodes"} {
		if root.values["members"] != nil && t.values[key] != nil {
			t.fail(key, "is not allowed beside [members], by which the node knows it: want one of the two")
		}
	}
	if c.NodeIndex >= c.NodeCount {
		t.fail("number", "is %d of %d nodes: want 0 to %d", c.NodeIndex, c.NodeCount, c.NodeCount-1)
	}
}

// seedOf keeps the nodes of a fleet from drawing the same random numbers, by what sets them apart:
// all would choose the same server at once.
func seedOf(name string, number int) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, name, " ", number)
	return h.Sum64()
}

// readLimits reads [limits].
func (c *Config) readLimits(root *table) {
	t := root.table("limits")
	c.Limits = limit.Machine{
		Cores:       t.number("cores", 1, minCores, maxCores),
		Memory:      t.size("memory", defaultMemoryBytes, limit.MinNodeMemory, maxMemoryBytes),
		Descriptors: t.count("descriptors", defaultDescriptors, limit.MinNodeDescriptors, maxDescriptors),
	}
	if want := c.Limits.MinMemory(); c.Limits.Memory < want {
		t.fail("memory", "is too little for %d descriptors: want %dMB at the least, or fewer descriptors", c.Limits.Descriptors, want>>20+1)
	}
	t.done()
}

// readPoolsAndServices reads [[pool]] and [[service]]. Each of their tables is passed to visit first.
func (c *Config) readPoolsAndServices(root *table, visit func(*table)) {
	pools := &poolSet{byName: make(map[string]*Pool)}
	for t := range root.tables("pool") {
		visit(t)
		p := readPool(t)
		p.Settings.NodeIndex, p.Settings.NodeCount = c.NodeIndex, c.NodeCount
		if pools.byName[p.Name] != nil {
			t.fail("name", "%q is used twice: want another name for each pool", p.Name)
		}
		pools.byName[p.Name] = &p
		c.Pools = append(c.Pools, p)
	}
	c.setShares(root)
	names := make(map[string]bool)
	for t := range root.tables("service") {
		visit(t)
		s := readService(t, pools)
		if names[s.Name] {
			t.fail("name", "%q is used twice: want another name for each service", s.Name)
		}
		names[s.Name] = true
		c.Services = append(c.Services, s)
	}
}

// checkServices reports services where the role has none, or their lack where it has some.
func (c *Config) checkServices(root *table) {
	switch {
	case c.Role == Planner && len(c.Services) > 0:
		root.fail("service", "is not allowed with a planner, which serves no clients: want pools alone")
	case len(c.Services) == 0 && c.Role != Planner:
		root.fail("service", "is missing: want one [[service]] or more")
	}
}

// checkRoutes reports routes that do not go together, where nothing else is wrong.
func (c *Config) checkRoutes(r *reader) {
	if r.notTOML != nil || len(r.errors) > 0 {
		return
	}
	if _, err := c.Table(); err != nil {
		r.addRouteErrors(err)
	}
}

// isAdminAddress reports whether an admin server can listen at an address.
func isAdminAddress(text string) bool {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		return filepath.IsAbs(path)
	}
	return isAddress(text)
}
