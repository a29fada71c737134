// case1: an order whose answer is lost is answered 503 and its key forgotten; a repeat runs it again.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"review/stand/lib"
)

const (
	servers  = 5
	remember = 12 * time.Second
	silent   = 6 * time.Second
	again    = remember + 2*time.Second // from the first sending to its repeat
)

func main() {
	c := lib.New()
	boxes := c.NewBoxes(150 * time.Millisecond)
	boxes.Remember = remember
	proxies := make(map[string]*lib.Proxy)
	var listed []string
	for i := range servers {
		name := fmt.Sprintf("box-%d", i+1)
		addr, _ := boxes.Add(name)
		proxy, proxied := c.NewProxy(name, addr)
		proxies[name] = proxy
		listed = append(listed, fmt.Sprintf("%q", proxied))
	}
	var once sync.Once
	boxes.Begun = func(server string, r *http.Request) {
		if c.Trouble && strings.HasPrefix(r.URL.Path, "/linen-order/") {
			once.Do(func() { proxies[server].Cut(silent) }) // one of five servers, while it works
		}
	}
	addr := c.FreeAddr()
	file := c.WriteFile("node.toml", fmt.Sprintf(`
[node]
name = "edge-1"
listen = [%q]

[limits]
cores = 1.0
memory = "192MB"
descriptors = 512

[[service]]
name = "orders"
tenant_header = "Req-Owner"

  [[service.route]]
  pool = "orders"

[[pool]]
name = "orders"
protocol = "platform"
servers = [%s]
second_copies = false

  [[pool.class]]
  name = "linen-order"
  repeat = "keyed"
  remember = "12s"
  group = "all"
  aim = "2s"
  deadline = "6s"

    [pool.class.keys]
    keep = "24h"
`, addr, strings.Join(listed, ", ")))
	c.StartNode("edge-1", "serve -c "+file)
	c.AwaitUp(addr, 10*time.Second)

	send := func(who, key string, try int) lib.Answer {
		return c.Do(who, addr, lib.Request{Method: "POST", Path: "/linen-order/4711", Body: "12 sheets for " + key, Header: map[string]string{
			"Req-Id": fmt.Sprintf("%s-try%d", key, try), "Req-Owner": "tamar-hotels", "Req-Deadline-Ms": "6000", "Idempotency-Key": key,
		}}, 7*time.Second)
	}
	// Three orders. The first is at its server when that falls silent; the others are sent after its return.
	began := time.Now()
	var answers, repeats [3]lib.Answer
	for i := range answers {
		if i == 1 {
			time.Sleep(time.Until(began.Add(silent + time.Second)))
		}
		answers[i] = send("client", fmt.Sprintf("order-key-%d", i), 1)
	}
	time.Sleep(time.Until(began.Add(again)))
	for i := range repeats {
		repeats[i] = send("client, again", fmt.Sprintf("order-key-%d", i), 2)
	}
	time.Sleep(300 * time.Millisecond)
	broken := ""
	for i := range answers {
		key := fmt.Sprintf("order-key-%d", i)
		runs := boxes.Runs(func(r lib.Run) bool { return r.Key == key })
		c.Log("%s: first answer %d, second answer %d, ran %d times", key, answers[i].Status, repeats[i].Status, len(runs))
		if len(runs) > 1 {
			broken = fmt.Sprintf("%s ran %d times, the first answer was %d", key, len(runs), answers[i].Status)
		}
		if len(runs) == 0 || !c.Trouble && answers[i].Status != 200 {
			c.Broken("an order did not run")
		}
	}
	if broken != "" {
		c.Violated(broken)
	}
	c.Held("each order ran once")
}
