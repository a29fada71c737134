package consensus

import (
	"context"
	"net/http"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/lengthprefix"
)

const (
	// maxSnapshotSends bounds how many configuration snapshots a voter sends at a time: each is encoded
	// while it is sent.
	maxSnapshotSends = 4
	// snapshotTimeout bounds how long one configuration snapshot takes.
	snapshotTimeout = 30 * time.Second
	// maxChangesBytes bounds the changes of one answer, in bytes, unless the first alone is larger. The
	// client asks again for the rest.
	maxChangesBytes = 4 << 20
)

// configSince answers with the configuration changes after a version, and waits for the first where there
// are none yet. A voter that does not lead fails with ErrNotLeader unless any voter may answer.
func (v *Voter) configSince(ctx context.Context, req configRequest) (configReply, error) {
	if err := v.awaitReadIndex(); err != nil && !req.AnyVoter {
		return configReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(req.Wait, maxWait))
	defer cancel()
	if req.Wait > 0 {
		v.awaitState(ctx, func(s *fsm.State) bool { return s.Config().Version() != req.Since })
	}
	reply := v.readConfig(req.Since)
	// The majority is asked after the answer was made: it confirms that nothing newer was committed
	// by then.
	if v.awaitReadIndex() == nil {
		v.replica.read(func(s *fsm.State) { reply.Confirmed = s.Config().Version() == reply.Version })
	}
	return reply, nil
}

// readConfig returns what this voter has applied of the configuration after a version.
func (v *Voter) readConfig(since uint64) configReply {
	var (
		reply    configReply
		changes  []configlog.Change
		retained bool
		digest   configlog.Digest
	)
	v.replica.read(func(s *fsm.State) {
		config := s.Config()
		reply.Version, digest = config.Version(), config.Digest()
		changes, retained = config.Since(since)
	})
	reply.Digest = digest[:]
	reply.Compacted = !retained && reply.Version > since
	size := 0
	for _, change := range changes {
		text := configlog.AppendChange(nil, change)
		size += len(text)
		if size > maxChangesBytes && len(reply.Changes) > 0 {
			break
		}
		reply.Changes = append(reply.Changes, text)
	}
	return reply
}

// sendConfigSnapshot answers with a snapshot of the configuration: its chunks, each with a length prefix.
func (v *Voter) sendConfigSnapshot(w http.ResponseWriter, _ *http.Request) {
	select {
	case v.snapshots <- struct{}{}:
		defer func() { <-v.snapshots }()
	default:
		http.Error(w, "too many snapshots are being sent", http.StatusServiceUnavailable)
		return
	}
	var snapshot configlog.Snapshot
	v.replica.read(func(s *fsm.State) { snapshot = s.Config().Snapshot() })
	// An error is dropped: the client's own timeout ends the call then.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(snapshotTimeout))
	var buf []byte
	for chunk := (configlog.SnapshotChunk{}); !chunk.Last; {
		chunk = snapshot.Chunk(chunk)
		buf = lengthprefix.Finish(configlog.AppendChunk(lengthprefix.Begin(buf), chunk))
		if _, err := w.Write(buf); err != nil {
			return // the client has gone, or will notice that the last chunk is missing
		}
	}
}
