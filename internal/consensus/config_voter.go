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
	// maxSnapshotSends bounds the configuration snapshots that a voter sends at a time, since each of them is
	// encoded while it is sent.
	maxSnapshotSends = 4
	// snapshotTimeout bounds the transfer of one configuration snapshot.
	snapshotTimeout = 30 * time.Second
	// maxChangesBytes bounds the total size of the changes in one response, in bytes. A first change that is larger
	// is sent alone. The client requests the remaining changes with further calls.
	maxChangesBytes = 4 << 20
)

// configSince returns the configuration changes after a version. If there are none yet, it waits up to req.Wait for
// the first change. It fails with ErrNotLeader if this voter is not the leader and req.AnyVoter is not set.
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
	// The majority confirms the leadership after the reply was built, so that the confirmation shows that no newer
	// version was committed before the confirmation.
	if v.awaitReadIndex() == nil {
		v.replica.read(func(s *fsm.State) { reply.Confirmed = s.Config().Version() == reply.Version })
	}
	return reply, nil
}

// readConfig returns the configuration changes after a version that this voter has applied.
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
		changes, retained = config.ChangesSince(since)
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

// sendConfigSnapshot responds with a snapshot of the configuration: its chunks, each with a length prefix.
func (v *Voter) sendConfigSnapshot(w http.ResponseWriter, _ *http.Request) {
	select {
	case v.snapshots <- struct{}{}:
		defer func() { <-v.snapshots }()
	default:
		http.Error(w, "too many snapshot transfers in progress", http.StatusServiceUnavailable)
		return
	}
	var snapshot configlog.Snapshot
	v.replica.read(func(s *fsm.State) { snapshot = s.Config().Snapshot() })
	// The error is ignored: without a write deadline, the client's timeout ends the call.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(snapshotTimeout))
	var buf []byte
	for chunk := (configlog.SnapshotChunk{}); !chunk.Last; {
		chunk = snapshot.Chunk(chunk)
		buf = lengthprefix.Finish(configlog.AppendChunk(lengthprefix.Begin(buf), chunk))
		if _, err := w.Write(buf); err != nil {
			return // the client disconnected, or will detect that the last chunk is missing
		}
	}
}
