package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// call makes one call of the watch and applies its updates. If the call was ended by cancelCall or a timer, its error
// is the cause.
func (w *Watcher) call(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	addr, fromVersion := w.beginCall(cancel)
	defer func() {
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
	}()
	// The connection of a watch that becomes silent, before its answer or within it, stays open, so only a timeout
	// detects it.
	stallTimer := time.AfterFunc(watchWait+answerGrace, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	url := fmt.Sprintf("http://%s/discovery/hosts?after=%d&wait_ms=%d", addr, fromVersion, watchWait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	resp, err := w.client.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	bodyTimer := time.AfterFunc(maxBodyTime, func() { cancel(errStalled) }) // the body may trickle forever
	defer bodyTimer.Stop()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	version, err := w.receive(ctx, resp, fromVersion, func() { stallTimer.Reset(maxBodyPause) })
	if err != nil {
		return err
	}
	w.recordVersion(addr, version)
	return nil
}

// receive decodes an answer and applies it as it arrives: its servers are applied as changes until the end shows
// that the list is complete. It returns the version for the next call. progress is called before each read.
func (w *Watcher) receive(ctx context.Context, resp *http.Response, fromVersion uint64, progress func()) (version uint64, err error) {
	began := time.Now()
	answer := newStreamedAnswer(ctx, resp.Body, progress, func(endpoints []core.Endpoint) { w.apply(decide.UpdateDelta, endpoints) })
	list, err := decodeList(answer, w.zones, answer.add)
	switch {
	case err != nil:
		answer.flush()
		return 0, err
	case list.complete:
		w.apply(decide.UpdateFull, list.Endpoints)
	default:
		w.apply(decide.UpdateDelta, answer.pending)
	}
	w.log.Log(ctx, logLevel(&list), "endpoint list applied", "version", list.Version, "from_version", fromVersion,
		"complete", list.complete, "count", len(list.Endpoints), "batches", answer.flushes+1, "duration", time.Since(began))
	if list.Version < fromVersion && !list.complete {
		return 0, nil // discovery has restarted its versions: request the complete list
	}
	return list.Version, nil
}

// logLevel returns the level at which a list is logged: complete lists are rare, and cost the most.
func logLevel(list *List) slog.Level {
	if list.complete {
		return slog.LevelInfo
	}
	return slog.LevelDebug
}
