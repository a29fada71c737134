// case2: after a reload with a shorter keep and a crash, the node forgets keys that it promised to keep.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"review/stand/lib"
)

const (
	shorter = 5 * time.Second // the new keep
	nodes   = 3
	away    = 3 * time.Second // how long a killed node is away
)

func main() {
	c := lib.New()
	boxes := c.NewBoxes(200 * time.Millisecond)
	var listed []string
	for i := range 3 {
		addr, _ := boxes.Add(fmt.Sprintf("box-%d", i+1))
		listed = append(listed, fmt.Sprintf("%q", addr))
	}
	settings := func(n int, addr, keep string) string {
		return fmt.Sprintf(`
[node]
name = "edge-%d"
listen = [%q]
number = %d
nodes = %d

[limits]
cores = 1.0
memory = "192MB"
descriptors = 512

[keys]
durable = %q

[[service]]
name = "credits"
tenant_header = "Req-Owner"

  [[service.route]]
  pool = "credits"

[[pool]]
name = "credits"
protocol = "platform"
servers = [%s]

  [[pool.class]]
  name = "loss-credit"
  repeat = "never"
  aim = "2.5s"
  deadline = "6s"

    [pool.class.keys]
    keep = %q
`, n, addr, n-1, nodes, filepath.Join(c.Temp, fmt.Sprintf("keys-%d.db", n)), strings.Join(listed, ", "), keep)
	}
	// Three nodes; the clients of this case use the first.
	var addrs [nodes]string
	var running [nodes]*lib.Node
	for i := range nodes {
		addrs[i] = c.FreeAddr()
		file := c.WriteFile(fmt.Sprintf("edge-%d.toml", i+1), settings(i+1, addrs[i], "24h"))
		running[i] = c.StartNode(fmt.Sprintf("edge-%d", i+1), "serve -c "+file)
		c.AwaitUp(addrs[i], 10*time.Second)
	}
	addr, node, file := addrs[0], running[0], filepath.Join(c.Temp, "edge-1.toml")
	send := func(who, key string, try int) lib.Answer {
		return c.Do(who, addr, lib.Request{Method: "POST", Path: "/loss-credit/4711", Body: "credit for " + key, Header: map[string]string{
			"Req-Id": fmt.Sprintf("%s-try%d", key, try), "Req-Owner": "tamar-hotels", "Req-Deadline-Ms": "6000", "Idempotency-Key": key,
		}}, 7*time.Second)
	}
	keys := []string{"credit-key-0", "credit-key-1", "credit-key-2"}
	check := func(when string, try int) (answered int) {
		for _, key := range keys {
			if a := send("client, "+when, key, try); a.Status == 200 {
				answered++
			}
		}
		return answered
	}
	if check("first", 1) != len(keys) {
		c.Broken("a credit was not answered")
	}
	time.Sleep(1500 * time.Millisecond) // no SIGHUP in the first second

	c.Log("operator: keep is %v for keys from now on", shorter)
	for i := range nodes {
		c.WriteFile(fmt.Sprintf("edge-%d.toml", i+1), settings(i+1, addrs[i], shorter.String()))
		running[i].Signal(syscall.SIGHUP)
		running[i].AwaitLog("msg=reloaded", 1, 5*time.Second)
	}
	time.Sleep(shorter + time.Second)
	check("after the reload", 2)

	if c.Trouble {
		node.Kill()
		c.Log("node edge-1: killed, one of %d", nodes)
		time.Sleep(away)
		c.StartNode("edge-1", "serve -c "+file)
		c.AwaitUp(addr, 10*time.Second)
	}
	check("soon after the restart", 3)
	time.Sleep(shorter + time.Second)
	check("later", 4)

	time.Sleep(300 * time.Millisecond)
	broken := ""
	for _, key := range keys {
		runs := boxes.Runs(func(r lib.Run) bool { return strings.HasPrefix(r.ID, key) })
		c.Log("%s ran %d times", key, len(runs))
		if len(runs) > 1 {
			broken = fmt.Sprintf("%s ran %d times", key, len(runs))
		}
	}
	if broken != "" {
		c.Violated(broken)
	}
	c.Held("each credit ran once")
}
