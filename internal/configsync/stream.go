package configsync

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"jasperpin/internal/configlog"
)

const (
	// streamReadBufferBytes is the size of a stream's read buffer. It is small because nodes send little.
	streamReadBufferBytes = 512
	// batchBytes is the size at which a batch of small frames is written.
	batchBytes = 16 << 10
)

// stream is a relay's end of one node's stream.
type stream struct {
	relay   *Relay
	conn    net.Conn
	node    hello
	since   time.Time     // when the node connected
	resumed chan struct{} // contains an element if the node has sent a Resume that the writer has not handled

	// The following fields are guarded by the relay's mu.
	progress *configlog.Progress
	diverged bool       // the node has another history and requests the whole state
	report   NodeReport // the last report that the node sent
}

// serveConn serves one connection until it ends.
func (r *Relay) serveConn(raw net.Conn) {
	var once sync.Once
	endHandshake := func() { once.Do(func() { <-r.handshakeSlots }) }
	defer endHandshake()
	defer raw.Close()
	defer context.AfterFunc(r.ctx, func() { raw.Close() })()
	conn := tls.Server(raw, r.tls)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // fails only on a closed connection; then reading fails too
	reader := bufio.NewReaderSize(conn, streamReadBufferBytes)
	st, err := r.acceptStream(conn, reader)
	if err != nil {
		if conn.ConnectionState().HandshakeComplete {
			_ = writeFrames(conn, encodeRejection(err)) // best effort: otherwise the node sees only that the connection ends
		}
		r.opt.Log.Debug("node stream rejected", "address", raw.RemoteAddr().String(), "err", err)
		return
	}
	_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection; then reading fails too
	endHandshake()
	cause := st.run(raw, reader)
	r.mu.Lock()
	delete(r.streams, st)
	st.progress.Close()
	r.mu.Unlock()
	r.opt.Log.Debug("node stream ended", "node", st.node.Name, "reason", cause)
}

// acceptStream reads a node's hello and adds its stream to the relay. The node receives the text of the error as the
// reason of its rejection.
func (r *Relay) acceptStream(conn net.Conn, reader *bufio.Reader) (*stream, error) {
	payload, err := readFrame(reader, nil, maxNodeFrame)
	if err != nil {
		return nil, err
	}
	st := &stream{relay: r, conn: conn, since: time.Now(), resumed: make(chan struct{}, 1)}
	if err := json.Unmarshal(payload[1:], &st.node); err != nil || payload[0] != kindHello {
		return nil, fmt.Errorf("%w: first frame is not a hello", errFrame)
	}
	if st.node.Protocol != protocolVersion {
		return nil, fmt.Errorf("protocol %d is spoken, want %d", st.node.Protocol, protocolVersion)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.streams) >= r.opt.MaxStreams {
		return nil, fmt.Errorf("%d nodes are served, which are the most", len(r.streams))
	}
	r.streams[st] = struct{}{}
	st.progress = r.tracker.Open()
	return st, nil
}

// run reads and writes until either fails or the relay is closed, and returns the cause. It closes raw, the connection
// under TLS, to end both.
func (st *stream) run(raw net.Conn, reader *bufio.Reader) error {
	ctx, cancel := context.WithCancelCause(st.relay.ctx)
	var writer sync.WaitGroup
	writer.Go(func() {
		if err := st.write(ctx); err != nil {
			cancel(err)
		}
		raw.Close()
	})
	err := st.read(reader)
	cancel(err)
	writer.Wait()
	return context.Cause(ctx)
}

// read reads and handles the node's frames until the connection ends.
func (st *stream) read(reader *bufio.Reader) error {
	var buf []byte
	for {
		_ = st.conn.SetReadDeadline(time.Now().Add(reportTimeout)) // fails only on a closed connection; then reading fails too
		payload, err := readFrame(reader, buf, maxNodeFrame)
		if err != nil {
			return err
		}
		buf = payload
		if payload[0] == kindReport {
			err = st.handleReport(payload[1:])
		} else {
			err = st.handleResume(payload)
		}
		if err != nil {
			return err
		}
	}
}

func (st *stream) handleReport(text []byte) error {
	var report NodeReport
	if err := json.Unmarshal(text, &report); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	st.relay.mu.Lock()
	defer st.relay.mu.Unlock()
	st.report = report
	return nil
}

// handleResume handles a node's Resume and notifies the writer.
func (st *stream) handleResume(payload []byte) error {
	resume, err := configlog.DecodeResume(payload)
	if err != nil {
		return err
	}
	st.relay.mu.Lock()
	// A zero digest requests the whole state: the node's history differs from that of most relays. It cannot apply
	// changes, even if a short log retains all of them.
	st.diverged = resume.Digest == (configlog.Digest{})
	if !st.diverged {
		st.progress.Resume(resume.Version, resume.WithLog)
	}
	st.relay.mu.Unlock()
	select {
	case st.resumed <- struct{}{}:
	default: // the writer has not handled the previous Resume yet
	}
	return nil
}

// write sends all pending messages, and waits until there may be more. It queues no messages: it makes each message
// only when the connection has accepted the previous one.
func (st *stream) write(ctx context.Context) error {
	r := st.relay
	heartbeat := time.NewTimer(configlog.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if err := st.sendSnapshotToDiverged(); err != nil {
			return err
		}
		if err := st.sendPending(); err != nil {
			return err
		}
		heartbeat.Reset(configlog.HeartbeatInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-st.resumed:
		case <-changed:
		case <-heartbeat.C:
		}
	}
}

// sendSnapshotToDiverged sends a snapshot to the node if it has diverged. It does nothing if configlog.MaxSnapshotStreams
// such snapshots are already being sent; the write loop then calls it again later.
func (st *stream) sendSnapshotToDiverged() error {
	r := st.relay
	r.mu.Lock()
	if !st.diverged || r.state.Version() == 0 {
		r.mu.Unlock()
		return nil
	}
	select {
	case r.divergedSnapshotSlots <- struct{}{}:
	default:
		r.mu.Unlock()
		return nil
	}
	defer func() { <-r.divergedSnapshotSlots }()
	snapshot := r.state.Snapshot().WithoutLog()
	r.mu.Unlock()
	deadline := time.Now().Add(configlog.SnapshotTimeout)
	for chunk := (configlog.SnapshotChunk{}); !chunk.Last; {
		if time.Now().After(deadline) {
			return fmt.Errorf("node did not accept a snapshot within %v", configlog.SnapshotTimeout)
		}
		chunk = snapshot.Chunk(chunk)
		if err := writeFrames(st.conn, encodeMessage(chunk)); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st.diverged = false
	st.progress.Resume(snapshot.Version(), false)
	return nil
}

// sendPending sends all pending messages.
func (st *stream) sendPending() error {
	r := st.relay
	batch := frameBatch{conn: st.conn}
	for {
		r.mu.Lock()
		message := st.progress.NextMessage(r.state, r.ageLocked(), time.Since(r.start))
		r.mu.Unlock()
		var err error
		switch m := message.(type) {
		case nil:
			return batch.flush()
		case configlog.Changes:
			for i := 0; i < len(m) && err == nil; i++ {
				err = batch.add(r.encodeChange(m[i]))
			}
		case configlog.SnapshotChunk:
			err = batch.add(encodeMessage(m))
			if m.Last { // the next queued stream gets the slot
				r.mu.Lock()
				r.notifyLocked()
				r.mu.Unlock()
			}
		default:
			err = batch.add(encodeMessage(m))
		}
		if err != nil {
			return err
		}
	}
}

// frameBatch collects small frames to write several of them at once.
type frameBatch struct {
	conn net.Conn
	buf  []byte
}

// add adds a frame, and writes the batch when it has reached batchBytes. It writes a large frame without copying it.
func (b *frameBatch) add(frame []byte) error {
	if len(frame) < batchBytes {
		b.buf = append(b.buf, frame...)
		if len(b.buf) < batchBytes {
			return nil
		}
		return b.flush()
	}
	if err := b.flush(); err != nil {
		return err
	}
	return writeFrames(b.conn, frame)
}

// flush writes the collected frames.
func (b *frameBatch) flush() error {
	if len(b.buf) == 0 {
		return nil
	}
	err := writeFrames(b.conn, b.buf)
	b.buf = b.buf[:0]
	return err
}
