package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is a server in the endpoint list, in the JSON encoding of the discovery protocol.
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

// InServiceEntries returns entries of standard servers at the given addresses, all in service.
func InServiceEntries(addrs ...string) []Entry {
	list := make([]Entry, 0, len(addrs))
	for _, a := range addrs {
		list = append(list, Entry{Host: "s-" + a, Dial: a, Site: "a", Class: "std", Block: 1, Health: "in_service", Share: 1})
	}
	return list
}

// Discovery is an HTTP server of the endpoint list. A call gets the complete list or the delta since the caller's
// version: at once or, as a watch, when the list changes.
type Discovery struct {
	Addr  string
	Calls atomic.Int64
	Bytes atomic.Int64 // bytes of responses that were written

	httpServer *http.Server

	mu        sync.Mutex
	changed   chan struct{} // closed at the next version
	version   uint64
	list      []Entry      // never modified, because calls encode it without the lock
	changes   []listChange // deltas of the latest versions, without a gap
	down      bool
	callTime  time.Duration // service time of a call; 0 unless overloaded
	busyUntil time.Time     // time at which all calls so far will have been served
}

// listChange is the delta between a version and the previous one.
type listChange struct {
	version uint64
	hosts   []Entry
}

const (
	// firstVersion is above 0, which callers without a version send.
	firstVersion = 5
	// maxChanges bounds the number of stored deltas. Callers with an older version get the complete list.
	maxChanges = 64
	// While overloaded, one call in unansweredOdds is not answered, and calls that would wait for more
	// than maxQueuedCalls others are rejected.
	unansweredOdds = 5
	maxQueuedCalls = 10
)

// listResponse is the JSON response to a call. Its fields are in the order of their JSON names.
type listResponse struct {
	Hosts    []Entry `json:"hosts"`
	Version  uint64  `json:"seq"`
	Complete bool    `json:"whole"`
}

// NewDiscovery starts a discovery server with an endpoint list.
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

// Close closes the server and ends all watches.
func (d *Discovery) Close() error { return d.httpServer.Close() }

// SetList replaces the endpoint list. Callers with any earlier version get the complete list.
func (d *Discovery) SetList(list ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.changes = list, nil
	d.nextVersion()
}

// Version returns the current version.
func (d *Discovery) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// nextVersion increments the version and notifies all watches. The caller holds mu.
func (d *Discovery) nextVersion() {
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// ChangeEntries applies a delta: terminated entries are removed, other entries are replaced or added. A caller with
// the previous version gets the delta only.
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

// changesAfter returns the changes since a version, if all of them are stored. The caller holds mu.
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

// SetDown makes every call fail with 503, or serves calls again.
func (d *Discovery) SetDown(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = on
}

// SetOverloaded overloads the server: it serves calls one after another, callTime each, rejects some of them and
// leaves some unanswered. A callTime of 0 ends the overload.
func (d *Discovery) SetOverloaded(callTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callTime = callTime
}

// awaitTurn waits until an overloaded server serves the n-th call. It returns false if the call was rejected or has
// ended.
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

// ServeHTTP answers a call: at once if the caller's version is outdated or the caller does not wait, and otherwise
// at the next version or when the caller's wait time has passed.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.awaitTurn(d.Calls.Add(1), w, r) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	t := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer t.Stop()
	for waited := waitMS == 0; ; {
		response, isNew, down, changed := d.responseAfter(after)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if isNew || waited {
			d.write(w, response)
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

// responseAfter returns the current response to a caller with a version, whether that version is outdated, whether
// discovery is down, and a channel that is closed at the next version.
func (d *Discovery) responseAfter(after uint64) (response listResponse, isNew, down bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	response = listResponse{Hosts: []Entry{}, Version: d.version}
	isNew = after != d.version
	if isNew {
		response.Hosts, response.Complete = d.list, true
	}
	if hosts, known := d.changesAfter(after); known {
		response.Hosts, response.Complete = hosts, false
	}
	return response, isNew, d.down, d.changed
}

func (d *Discovery) write(w http.ResponseWriter, response listResponse) {
	text, err := json.Marshal(response)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	n, _ := w.Write(text)
	d.Bytes.Add(int64(n))
}
