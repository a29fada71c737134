package httpserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/idempotency"
	"jasperpin/internal/idempotency/store"
	"jasperpin/internal/limit"
	"jasperpin/internal/service"
)

const (
	keyHeader = "Idempotency-Key"
	// again is when one that found no room or could not wait is told to come back, where
	// nothing better is known.
	again = time.Second
)

// keyText is the text of a request's key, "" for none.
func keyText(hr *http.Request, k *service.Keyed) (string, *complaint) {
	text, err := idempotency.ParseText(hr.Header[keyHeader])
	if err != nil {
		return "", &complaint{http.StatusBadRequest, err.Error()}
	}
	if text == "" && k.Need {
		return "", &complaint{http.StatusBadRequest, "the class wants one Idempotency-Key"}
	}
	return text, nil
}

// claim is a request's hold on its key, from when it is the one that runs.
type claim struct {
	*store.Claim
	holder  *store.Holder
	arrived bool // at a pool: it may run
	settled bool
	copy    *store.Copy // of an answer that streams
	answer  store.Answer
}

// claim has a request run under its key, or answers it: a repeat gets the answer of the
// first, whether that is there or must be waited for. Both nil stand for one that has no
// key, or whose class lets it run where there is no room for it.
func (f *Front) claim(w http.ResponseWriter, hr *http.Request, target service.Target, text string, q *core.Request, up *upload) (own *claim, answered bool) {
	if text == "" && !target.Keyed.Fingerprint {
		return nil, false
	}
	streams := q.Rest != nil
	digest := idempotency.NewDigester(q.Method, q.Target)
	_, _ = digest.Write(q.Body)
	k := idempotency.Key{Tenant: target.Service.Name + "/" + tenant(hr, target), Class: target.Keyed.Name, Text: text}
	var sum idempotency.Digest
	if !streams {
		sum = digest.Sum()
	}
	if text == "" {
		switch {
		case streams && len(q.Body) >= limit.KeptBody:
			complain(w, &complaint{http.StatusRequestEntityTooLarge, "body too long for a class whose repeats are told by what they say"})
			return nil, true
		case streams: // memory is short, and it cannot be told before all of it has come
			f.throttle(w, target, again, q)
			return nil, true
		}
		k.Text = "\x00" + string(sum[:]) // which no header can hold
	}
	turn := target.Keyed.Arrive(k, sum)
	if turn.Verdict == idempotency.Read {
		if _, err := io.Copy(digest, up); err != nil {
			complain(w, &complaint{http.StatusBadRequest, "body cut short or malformed"})
			return nil, true
		}
		turn = target.Keyed.Arrive(k, digest.Sum())
	}
	waited := turn.Verdict == idempotency.Wait
	if waited {
		var err error
		turn, err = turn.Claim.Wait(hr.Context(), until(q, streams))
		switch {
		case errors.Is(err, store.ErrTimeUp):
			own504(w, target, q.Class)
			return nil, true
		case err != nil:
			panic(http.ErrAbortHandler)
		}
	}
	counts := &f.set.Figures.Repeats
	switch turn.Verdict {
	case idempotency.Run:
		if streams && up.done() { // what it would send has been read away
			turn.Claim.Settle(idempotency.NeverRan, store.Answer{})
			f.throttle(w, target, again, q)
			return nil, true
		}
		if streams {
			q.Rest = &digested{up, digest, turn.Claim}
		}
		return &claim{Claim: turn.Claim, holder: target.Keyed.Holder}, false
	case idempotency.Replay:
		counts.Answered.Add(1)
		if waited {
			counts.Waited.Add(1)
		}
		f.replay(w, target, turn.Answer, q.Class)
	case idempotency.Mismatch:
		counts.Mismatched.Add(1)
		problem(w, http.StatusUnprocessableEntity, "the Idempotency-Key was used for another request")
	case idempotency.Busy:
		counts.Busy.Add(1)
		retryAfter(w, target.Refusal(again).RetryAfter, target.Plain)
		problem(w, http.StatusConflict, "the first request under the Idempotency-Key still runs")
	case idempotency.Full:
		counts.Full.Add(1)
		f.throttle(w, target, max(turn.Retry, again), q)
	default:
		counts.Passed.Add(1)
		return nil, false
	}
	return nil, true
}

// until is when a client's time is up. That of one whose body streams begins with its end.
func until(q *core.Request, streams bool) time.Time {
	if streams {
		return time.Now().Add(q.Timeout)
	}
	return q.ReceivedAt.Add(q.Timeout)
}

// throttle refuses a request of which nothing has run.
func (f *Front) throttle(w http.ResponseWriter, target service.Target, wait time.Duration, q *core.Request) {
	f.refuse(w, q.ID, target.Refusal(wait), target.Plain)
	target.Counts(q.Class).Throttled.Add(1)
}

// own504 answers one whose time is up while the first still runs: that one may have run.
func own504(w http.ResponseWriter, target service.Target, class int) {
	own(w, http.StatusGatewayTimeout, 0, target.Plain)
	target.Counts(class).Faulted.Add(1)
}

// replay gives a repeat the answer of the first.
func (f *Front) replay(w http.ResponseWriter, target service.Target, a store.Answer, class int) {
	h := map[string][]string{"Idempotent-Replayed": {"true"}}
	if a.Trimmed {
		h["Idempotent-Body"] = []string{"dropped"}
	}
	for name, values := range a.Header {
		h[name] = values
	}
	f.answer(w, core.Final{Answer: &core.Answer{Code: a.Code, Header: h, Body: a.Body, Length: int64(len(a.Body))}}, target.Plain)
	if a.Code >= http.StatusInternalServerError {
		target.Counts(class).Faulted.Add(1)
		return
	}
	target.Counts(class).Fulfilled.Add(1)
}

// problem answers with what is wrong, in the form of RFC 9457. The connection stays: it is
// clear where the request ended.
func problem(w http.ResponseWriter, status int, title string) {
	body, err := json.Marshal(struct {
		Title  string `json:"title"`
		Status int    `json:"status"`
	}{title, status})
	if err != nil {
		body = nil
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ended takes the run's final answer. Where that streams a copy is kept as it passes.
func (c *claim) ended(fin *core.Final) {
	switch {
	case fin.Status == core.Rejected:
		c.settle(idempotency.NeverRan, store.Answer{})
	case fin.Status == core.Failed:
		c.settle(idempotency.MayHaveRun, store.Answer{Code: statuses[core.Failed]})
	case fin.Answer.Rest == nil:
		c.settle(idempotency.Answered, store.Answer{Code: fin.Answer.Code, Header: fin.Answer.Header, Body: fin.Answer.Body})
	default:
		c.answer = store.Answer{Code: fin.Answer.Code, Header: fin.Answer.Header}
		c.copy = c.holder.Copy(fin.Answer.Body, fin.Answer.Rest)
		fin.Answer.Rest = c.copy
	}
}

func (c *claim) settle(end idempotency.End, a store.Answer) {
	c.settled = true
	c.Settle(end, a)
}

// end settles what has not been: a run whose answer has streamed, or that went no further.
func (c *claim) end() {
	switch {
	case c.settled:
	case c.copy != nil:
		body, whole := c.copy.Whole()
		c.answer.Body, c.answer.Trimmed = body, !whole
		c.settle(idempotency.Answered, c.answer)
	case c.arrived:
		c.settle(idempotency.MayHaveRun, store.Answer{Code: statuses[core.Failed]})
	default:
		c.settle(idempotency.NeverRan, store.Answer{})
	}
}

// digested is a body that passes, whose digest is told with its end.
type digested struct {
	*upload
	digest idempotency.Digester
	claim  *store.Claim
}

func (d *digested) Read(p []byte) (int, error) {
	n, err := d.upload.Read(p)
	_, _ = d.digest.Write(p[:n])
	if errors.Is(err, io.EOF) {
		d.claim.Digested(d.digest.Sum())
	}
	return n, err
}
