// case1: an order whose answer is lost is answered 503 and its key forgotten; a repeat runs it again.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"review/stand/lib"
)

const (
	servers  = 6
	remember = 3 * time.Second
	silent   = 3 * time.Second
	deadline = 6 * time.Second // of a client, over all its tries
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
			once.Do(func() { proxies[server].Cut(silent) }) // one of six servers, while it works
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
  remember = "3s"
  group = "all"
  aim = "2s"
  deadline = "6s"

    [pool.class.keys]
    keep = "24h"
`, addr, strings.Join(listed, ", ")))
	c.StartNode("edge-1", "serve -c "+file)
	c.AwaitUp(addr, 10*time.Second)

	send := func(who, key string, try int, left time.Duration) lib.Answer {
		return c.Do(who, addr, lib.Request{Method: "POST", Path: "/linen-order/4711", Body: "12 sheets for " + key, Header: map[string]string{
			"Req-Id": fmt.Sprintf("%s-try%d", key, try), "Req-Owner": "tamar-hotels", "Req-Deadline-Ms": fmt.Sprint(left.Milliseconds()), "Idempotency-Key": key,
		}}, left+time.Second)
	}
	// Three clients, a second apart. Each sends its order, and once more when the node said to come back (or 4 s
	// after the first sending, as a double tap, if it was answered), within the time that it waits in all.
	var answers, repeats [3]lib.Answer
	var clients sync.WaitGroup
	for i := range answers {
		clients.Go(func() {
			key := fmt.Sprintf("order-key-%d", i)
			who := fmt.Sprintf("client %d", i)
			if i > 0 { // after the return of the silent server
				time.Sleep(silent + time.Duration(i)*time.Second)
			}
			began := time.Now()
			answers[i] = send(who, key, 1, deadline)
			again := began.Add(4 * time.Second)
			if seconds, err := strconv.ParseFloat(answers[i].Header.Get("Retry-After"), 64); err == nil {
				again = time.Now().Add(time.Duration(seconds * float64(time.Second)))
			}
			time.Sleep(time.Until(again))
			left := time.Until(began.Add(deadline))
			if left <= 0 {
				c.Log("%s: has no time left for another try", who)
				return
			}
			repeats[i] = send(who+", again", key, 2, left)
		})
	}
	clients.Wait()
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
