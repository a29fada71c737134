package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is one server of the list, in discovery's form.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
}

// Hosts lists servers at some addresses, all in service.
func Hosts(addrs ...string) []Entry {
	list := make([]Entry, 0, len(addrs))
	for _, a := range addrs {
		list = append(list, Entry{Host: "s-" + a, Dial: a, Site: "a", Class: "std", Block: 1, Health: "in_service", Share: 1})
	}
	return list
}

// Discovery tells the list of servers in the protocol's form: whole, or by a watch
// that waits until there is something newer.
type Discovery struct {
	Addr  string
	Calls atomic.Int64
	Bytes atomic.Int64 // of lists that it has written

	srv  *http.Server
	mu   sync.Mutex
	news chan struct{} // closed at the next change
	seq  uint64
	list []Entry
	past []change // the newest changes, each the version after the one before
	down bool
	slow time.Duration
	slot time.Time // when the call after the last has its turn
}

// change is what one version tells that the one before did not.
type change struct {
	seq   uint64
	hosts []Entry
}

// mostPast bounds the changes that are kept: who asks from an older version is told the whole list.
const mostPast = 64

// NewDiscovery starts a discovery whose first version is 5.
func NewDiscovery(list ...Entry) (*Discovery, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), news: make(chan struct{}), seq: 5, list: list}
	d.srv = &http.Server{Handler: d}
	go func() { _ = d.srv.Serve(ln) }()
	return d, nil
}

// Close ends it and all watches.
func (d *Discovery) Close() error { return d.srv.Close() }

// Set replaces the list.
func (d *Discovery) Set(list ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.past = list, nil
	d.renew()
}

// Version is the newest version.
func (d *Discovery) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq
}

// renew begins a new version. Called under the lock.
func (d *Discovery) renew() {
	d.seq++
	close(d.news)
	d.news = make(chan struct{})
}

// Change tells of some entries, as a change of the list to whoever has the version before: those that
// are terminated leave it, the others replace theirs or are new.
func (d *Discovery) Change(hosts ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	named := make(map[string]Entry, len(hosts))
	for _, e := range hosts {
		named[e.Host] = e
	}
	var list []Entry // a new one: calls that go on write the old
	for _, e := range d.list {
		if is, ok := named[e.Host]; ok {
			e = is
			delete(named, e.Host)
		}
		if e.Health != "terminated" {
			list = append(list, e)
		}
	}
	for _, e := range hosts {
		if _, ok := named[e.Host]; ok && e.Health != "terminated" {
			list = append(list, e)
		}
	}
	d.list = list
	d.renew()
	d.past = append(d.past, change{d.seq, hosts})
	if len(d.past) > mostPast {
		d.past = d.past[1:]
	}
}

// since is what has changed after a version, where that is known. Called under the lock.
func (d *Discovery) since(after uint64) (hosts []Entry, known bool) {
	for _, c := range d.past {
		if c.seq == after+1 {
			known = true
		}
		if known {
			hosts = append(hosts, c.hosts...)
		}
	}
	return hosts, known
}

// Down has it answer every call with 503, or serve again.
func (d *Discovery) Down(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = on
}

// Overrun has it meet calls as one that has too many callers, in turn: each takes it so long, one that
// would wait for more than ten is refused, and one in five gets no answer.
func (d *Discovery) Overrun(each time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = each
}

// turn waits for a call's turn, where it has too many callers. It says false where the call has been met.
func (d *Discovery) turn(n int64, w http.ResponseWriter, r *http.Request) bool {
	d.mu.Lock()
	slow, now := d.slow, time.Now()
	if d.slot.Before(now) {
		d.slot = now
	}
	wait := d.slot.Sub(now) + slow
	mute, refused := slow > 0 && n%5 == 0, wait > 10*slow
	if !mute && !refused {
		d.slot = now.Add(wait)
	}
	d.mu.Unlock()
	switch {
	case mute:
		<-r.Context().Done()
		return false
	case refused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.turn(d.Calls.Add(1), w, r) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for late := false; ; {
		d.mu.Lock()
		down, news := d.down, d.news
		fresh := after != d.seq
		reply := map[string]any{"seq": d.seq, "whole": fresh, "hosts": d.list}
		if hosts, known := d.since(after); known {
			reply["whole"], reply["hosts"] = false, hosts
		}
		d.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case fresh || late || ms == 0:
			if !fresh {
				reply["hosts"] = []Entry{}
			}
			text, err := json.Marshal(reply)
			if err != nil {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			n, _ := w.Write(text)
			d.Bytes.Add(int64(n))
			return
		}
		select {
		case <-news:
		case <-t.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}
