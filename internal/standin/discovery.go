package standin

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

	srv  *http.Server
	mu   sync.Mutex
	news chan struct{} // closed at the next change
	seq  uint64
	list []Entry
	down bool
	slow time.Duration
	slot time.Time // when the call after the last has its turn
}

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
	d.list = list
	d.seq++
	close(d.news)
	d.news = make(chan struct{})
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
		d.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case fresh || late || ms == 0:
			if !fresh {
				reply["hosts"] = []Entry{}
			}
			_ = json.NewEncoder(w).Encode(reply)
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
