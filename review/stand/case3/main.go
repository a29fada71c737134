// case3: after a new configuration the id of another client's open request is no longer known as in use.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"review/stand/lib"
)

const (
	servers  = 8
	work     = 200 * time.Millisecond // of a credit
	slowWork = 2 * time.Second        // of a credit at the slow server, within its aim of 2.5 s
)

func main() {
	c := lib.New()
	boxes := c.NewBoxes(0)
	begun := make(chan string, 100)
	var mu sync.Mutex
	slow := "" // one of eight servers: the first that gets a credit
	boxes.Work = func(server string, r *http.Request) bool {
		mu.Lock()
		if slow == "" {
			slow = server
			c.Log("server %s is the slow one", server)
		}
		takes := work
		if slow == server {
			takes = slowWork
		}
		mu.Unlock()
		begun <- r.Header.Get("Req-Id")
		time.Sleep(takes)
		return true
	}
	var hosts []map[string]any
	for i := range servers {
		name := fmt.Sprintf("box-%d", i+1)
		addr, _ := boxes.Add(name)
		hosts = append(hosts, lib.Host(name, addr, "in_service"))
	}
	d, discovery := c.NewDiscovery(hosts...)
	addr := c.FreeAddr()
	lookup, credit := lib.Class("stock-lookup", "free", 750, 2500), lib.Class("loss-credit", "single_shot", 2500, 6000)
	file := c.WriteFile("config.json", c.PlatformFile(addr, discovery, "", d.List(), lib.Settings(lookup, credit)))
	node := c.StartNode("n0", "", "GW_CONFIG="+file)
	c.AwaitUp(addr, 10*time.Second)
	time.Sleep(1500 * time.Millisecond) // no SIGHUP in the first second

	const id = "9b1f03aa5c7e2d41"
	request := lib.Request{Method: "POST", Path: "/loss-credit/7f3a9c21e0b4d655", Body: "credit 12.50", Header: map[string]string{
		"Req-Id": id, "Req-Deadline-Ms": "6000",
	}}
	first, bad := make(chan lib.Answer, 1), make(chan lib.Answer, 1)
	go func() { first <- c.Do("usual client", addr, request, 8*time.Second) }()
	select {
	case <-begun:
	case <-time.After(5 * time.Second):
		c.Broken("the request did not reach a server")
	}
	if c.Trouble {
		c.WriteFile("config.json", c.PlatformFile(addr, discovery, "", d.List(), lib.Settings(lookup, credit, lib.Class("bag-scan", "free", 800, 3000))))
		node.Signal(syscall.SIGHUP)
		node.AwaitLog("msg=reloaded", 1, time.Second)
	}
	time.Sleep(200 * time.Millisecond)
	go func() { bad <- c.Do("bad client, with the id of the open request", addr, request, 8*time.Second) }()
	gotBad, gotFirst := <-bad, <-first
	runs := boxes.Runs(func(r lib.Run) bool { return r.ID == id })
	c.Log("usual client got %d, bad client got %d, the id ran %d times", gotFirst.Status, gotBad.Status, len(runs))
	if gotFirst.Status != 200 {
		c.Broken("the usual client was not served")
	}
	if gotBad.Status == 200 {
		c.Violated(fmt.Sprintf("the bad client was served with an answer, and servers ran id %s %d times", id, len(runs)))
	}
	c.Held(fmt.Sprintf("the bad client got %d", gotBad.Status))
}
