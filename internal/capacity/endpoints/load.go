package endpoints

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// answerSlack is how long after a request's deadline its client stops waiting.
	answerSlack = 500 * time.Millisecond
	// keyCount is the number of different paths of requests.
	keyCount = 97
)

// sendLoad sends requests at the trial's rate until ctx is done, and waits until all have ended.
func (r *trialRun) sendLoad(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: descriptorLimit}}
	defer client.CloseIdleConnections()
	var lastNumber atomic.Int64
	var all sync.WaitGroup
	interval := time.NewTicker(time.Second / time.Duration(r.Rate))
	defer interval.Stop()
	for {
		select {
		case <-ctx.Done():
			all.Wait()
			return
		case <-interval.C:
			all.Go(func() { r.sendAndRecord(client, lastNumber.Add(1)) })
		}
	}
}

// sendAndRecord sends a request and records how it ended.
func (r *trialRun) sendAndRecord(client *http.Client, number int64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+answerSlack)
	defer cancel()
	began := time.Now()
	status, err := r.get(ctx, client, number)
	latency := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.Restarts > 0 && ctx.Err() == nil {
		return // no process listens during a restart
	}
	r.result.Requests++
	if err == nil && status == http.StatusOK {
		r.latencies = append(r.latencies, latency)
	}
	switch {
	case err != nil:
		r.result.Unanswered++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.result.Rejected++
	case status != http.StatusOK:
		r.result.Failed++
	case latency > r.Deadline:
		r.result.Late++
	default:
		r.result.InTime++
	}
}

// get sends a request, reads the complete response and returns its status.
func (r *trialRun) get(ctx context.Context, client *http.Client, number int64) (status int, err error) {
	url := fmt.Sprintf("http://%s/look/k%d", r.addr, number%keyCount)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fmt.Errorf("creating a request: %w", err)
	}
	req.Header.Set("Req-Id", fmt.Sprintf("r%d", number))
	req.Header.Set("Req-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("sending a request: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("reading a response: %w", err)
	}
	return resp.StatusCode, nil
}
