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

const shorter = 5 * time.Second // the new keep

func main() {
	c := lib.New()
	boxes := c.NewBoxes(150 * time.Millisecond)
	var listed []string
	for i := range 3 {
		addr, _ := boxes.Add(fmt.Sprintf("box-%d", i+1))
		listed = append(listed, fmt.Sprintf("%q", addr))
	}
	addr := c.FreeAddr()
	settings := func(keep string) string {
		return fmt.Sprintf(`
[node]
name = "edge-1"
listen = [%q]

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
`, addr, filepath.Join(c.Temp, "keys.db"), strings.Join(listed, ", "), keep)
	}
	file := c.WriteFile("node.toml", settings("24h"))
	node := c.StartNode("edge-1", "serve -c "+file)
	c.AwaitUp(addr, 10*time.Second)
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
	c.WriteFile("node.toml", settings(shorter.String()))
	node.Signal(syscall.SIGHUP)
	node.AwaitLog("msg=reloaded", 1, 5*time.Second)
	time.Sleep(shorter + time.Second)
	check("after the reload", 2)

	if c.Trouble {
		node.Kill()
		c.Log("node edge-1: killed")
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
