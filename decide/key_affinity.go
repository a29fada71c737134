package decide

import "maps"

const (
	// A key is assigned to minServersPerKey servers at the least, so that one may fail, and to
	// maxServersPerKey at the most.
	minServersPerKey = 2
	maxServersPerKey = 16
	// keyShareFactor is how many parts of the local servers a key gets for its share of the requests.
	keyShareFactor = 2
	// keyCountWindow is over how many requests a key's share is taken.
	keyCountWindow = 1000
	// minKeyCount is the fewest requests that a share is taken of: before, a first request would look hot.
	minKeyCount = 200
	// maxHotKeys bounds how many keys' servers are cached.
	maxHotKeys = 256
)

// keyAffinity sends requests with the same key to the same few servers of the zone, which then have it
// cached.
type keyAffinity struct {
	keyTree   rendezvousTree // over the local servers
	keyCounts map[uint64]int // fading counts of the keys of requests
	keyTotal  int            // their sum

	hotKeys        map[uint64][]*server // the servers of keys that are on many
	hotKeysVersion uint64               // of keyTree, for which hotKeys holds
}

func newKeyAffinity() keyAffinity {
	return keyAffinity{keyCounts: make(map[uint64]int), hotKeys: make(map[uint64][]*server)}
}

// offerKeyServers offers the servers of the zone that have a request's key, if it has one. All nodes
// compute the same ones. Servers in slow start are among them, within their budgets: another set meanwhile
// would move the key twice.
func (b *Balancer) offerKeyServers(c *candidates) {
	key := c.request.Key
	if !b.settings.KeyAffinity || key == 0 {
		return
	}
	for _, s := range b.serversOfKey(key, b.serversPerKey(key)) {
		c.offer(s, true)
	}
}

// serversPerKey returns to how many servers a key is assigned: by its share of the recent requests, so that
// a hot key does not overload its servers.
func (b *Balancer) serversPerKey(key uint64) int {
	local := len(b.local.servers)
	forShare := keyShareFactor * float64(b.keyCounts[key]) / float64(max(b.keyTotal, minKeyCount)) * float64(local)
	return min(minServersPerKey+int(forShare), local, maxServersPerKey)
}

// serversOfKey returns which n servers a key is assigned to, the most important first. Those of a hot key
// are cached until the servers change, so that its requests look at no more of many servers than of few.
func (b *Balancer) serversOfKey(key uint64, n int) []*server {
	if b.hotKeysVersion != b.keyTree.version || len(b.hotKeys) >= maxHotKeys {
		b.hotKeysVersion = b.keyTree.version
		clear(b.hotKeys)
	}
	servers := b.hotKeys[key]
	for number := len(servers); number < n; number++ {
		s, examined := b.keyTree.choose(key, uint64(number))
		b.examined += examined
		servers = append(servers, s)
	}
	if n > minServersPerKey {
		b.hotKeys[key] = servers
	}
	return servers[:n]
}

// countKey counts a request's key. Each keyCountWindow requests all counts are halved.
func (b *Balancer) countKey(key uint64) {
	if key == 0 || !b.settings.KeyAffinity {
		return
	}
	b.keyCounts[key]++
	b.keyTotal++
	if b.keyTotal <= keyCountWindow {
		return
	}
	b.keyTotal = 0
	for k := range b.keyCounts {
		b.keyCounts[k] /= 2
		b.keyTotal += b.keyCounts[k]
	}
	maps.DeleteFunc(b.keyCounts, func(_ uint64, n int) bool { return n == 0 })
}
