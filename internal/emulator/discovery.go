package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is a server in the endpoint list, in the protocol's form.
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

// InServiceEntries returns entries of usual servers at some addresses, all in service.
func InServiceEntries(addrs ...string) []Entry {
	list := make([]Entry, 0, len(addrs))
	for _, a := range addrs {
		list = append(list, Entry{Host: "s-" + a, Dial: a, Site: "a", Class: "std", Block: 1, Health: "in_service", Share: 1})
	}
	return list
}

// Discovery serves the endpoint list in the protocol's form: the complete list, or what has changed since
// a version, at once or as a watch that waits for a change.
type Discovery struct {
	Addr  string
	Calls atomic.Int64
	Bytes atomic.Int64 // of lists that were written

	httpServer *http.Server

	mu        sync.Mutex
	changed   chan struct{} // closed at the next version
	version   uint64
	list      []Entry      // never modified: calls write it without the lock
	changes   []listChange // of the latest versions, without a gap
	down      bool
	callTime  time.Duration // that each call takes; 0 unless overloaded
	busyUntil time.Time     // when all calls so far will be over
}

// listChange is what a version changed in the list.
type listChange struct {
	version uint64
	hosts   []Entry
}

const (
	// firstVersion is above 0, which stands for no version.
	firstVersion = 5
	// maxChanges bounds the changes that are stored. Callers with an older version get the complete list.
	maxChanges = 64
	// While overloaded, one call in unansweredOdds is not answered, and calls that would wait for more
	// than maxQueuedCalls others are rejected.
	unansweredOdds = 5
	maxQueuedCalls = 10
)

// reply is the answer to a call. Its fields are in the order of their names.
type reply struct {
	Hosts    []Entry `json:"hosts"`
	Version  uint64  `json:"seq"`
	Complete bool    `json:"whole"`
}

// NewDiscovery starts a discovery with a list.
func NewDiscovery(list ...Entry) (*Discovery, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), changed: make(chan struct{}), version: firstVersion, list: list}
	d.httpServer = &http.Server{Handler: d}
	go func() { _ = d.httpServer.Serve(ln) }()
	return d, nil
}

// Close ends the server and all watches.
func (d *Discovery) Close() error { return d.httpServer.Close() }

// SetList replaces the list. Callers with any earlier version get the complete list.
func (d *Discovery) SetList(list ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.changes = list, nil
	d.nextVersion()
}

// Version is the present version.
func (d *Discovery) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// nextVersion begins a new version, and wakes all watches. The caller holds mu.
func (d *Discovery) nextVersion() {
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// ChangeEntries changes some entries. Those that are terminated are removed, the others replaced or added. Callers
// with the version before get just these.
func (d *Discovery) ChangeEntries(hosts ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := make(map[string]Entry, len(hosts))
	for _, e := range hosts {
		pending[e.Host] = e
	}
	var list []Entry
	for _, e := range d.list {
		if changed, ok := pending[e.Host]; ok {
			e = changed
			delete(pending, e.Host)
		}
		if e.Health != "terminated" {
			list = append(list, e)
		}
	}
	for _, e := range hosts {
		if _, ok := pending[e.Host]; ok && e.Health != "terminated" {
			list = append(list, e)
		}
	}
	d.list = list
	d.nextVersion()
	d.changes = append(d.changes, listChange{d.version, hosts})
	if len(d.changes) > maxChanges {
		d.changes = d.changes[1:]
	}
}

// changesAfter returns what has changed since a version, if that is stored. The caller holds mu.
func (d *Discovery) changesAfter(after uint64) (hosts []Entry, known bool) {
	for _, c := range d.changes {
		if c.version == after+1 {
			known = true
		}
		if known {
			hosts = append(hosts, c.hosts...)
		}
	}
	return hosts, known
}

// SetDown has every call answered with 503, or served again.
func (d *Discovery) SetDown(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = on
}

// SetOverloaded makes the server overloaded: it serves calls one after another, each takes it callTime, some are
// rejected and some get no answer. With 0 it is no longer overloaded.
func (d *Discovery) SetOverloaded(callTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callTime = callTime
}

// awaitTurn waits until an overloaded server comes to the n-th call. It returns false if the call is over.
func (d *Discovery) awaitTurn(n int64, w http.ResponseWriter, r *http.Request) bool {
	d.mu.Lock()
	callTime, now := d.callTime, time.Now()
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	wait := d.busyUntil.Sub(now) + callTime
	unanswered, rejected := callTime > 0 && n%unansweredOdds == 0, wait > maxQueuedCalls*callTime
	if !unanswered && !rejected {
		d.busyUntil = now.Add(wait)
	}
	d.mu.Unlock()
	switch {
	case unanswered:
		<-r.Context().Done()
		return false
	case rejected:
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

// ServeHTTP answers a call: at once if there is a newer version than the caller's, or if the caller does
// not wait, and otherwise at the next version or when the caller's wait is over.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.awaitTurn(d.Calls.Add(1), w, r) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	t := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer t.Stop()
	for waited := waitMS == 0; ; {
		answer, isNew, down, changed := d.answerAfter(after)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if isNew || waited {
			d.write(w, answer)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// answerAfter is the present answer to a caller that has a version, and whether it says anything new.
func (d *Discovery) answerAfter(after uint64) (answer reply, isNew, down bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer = reply{Hosts: []Entry{}, Version: d.version}
	isNew = after != d.version
	if isNew {
		answer.Hosts, answer.Complete = d.list, true
	}
	if hosts, known := d.changesAfter(after); known {
		answer.Hosts, answer.Complete = hosts, false
	}
	return answer, isNew, d.down, d.changed
}

func (d *Discovery) write(w http.ResponseWriter, answer reply) {
	text, err := json.Marshal(answer)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	n, _ := w.Write(text)
	d.Bytes.Add(int64(n))
}
