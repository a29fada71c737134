package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus/fsm"
)

const (
	// maxRequestBytes bounds the requests of most calls.
	maxRequestBytes = 64 << 10
	// maxProposalBytes bounds a proposal, whose change is encoded in base64.
	maxProposalBytes = 2*configlog.MaxChangeBytes + maxRequestBytes
	// maxBackupBytes bounds a backup. Its state, which contains base64, is encoded in base64 again.
	maxBackupBytes = 256 << 20
	// maxResponseBytes bounds all responses.
	maxResponseBytes = maxBackupBytes // the largest response is a backup
)

// handler returns the handler for the calls of clients.
func (v *Voter) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathCommand, handleJSON(v, maxRequestBytes, func(_ context.Context, c fsm.Command) (fsm.Result, error) {
		return v.Do(c)
	}))
	mux.HandleFunc("POST "+pathPropose, handleJSON(v, maxProposalBytes, func(_ context.Context, p proposal) (fsm.Result, error) {
		return v.Do(p.command())
	}))
	mux.HandleFunc("POST "+pathConfig, handleJSON(v, maxRequestBytes, v.configSince))
	mux.HandleFunc("POST "+pathConfigSnapshot, v.sendConfigSnapshot)
	mux.HandleFunc("POST "+pathRead, handleJSON(v, maxRequestBytes, v.Read))
	mux.HandleFunc("POST "+pathStatus, handleJSON(v, maxRequestBytes, func(context.Context, struct{}) (Status, error) {
		return v.Status()
	}))
	mux.HandleFunc("POST "+pathChangeVoters, handleJSON(v, maxRequestBytes, func(_ context.Context, c VoterChange) (struct{}, error) {
		return struct{}{}, v.ChangeVoters(c)
	}))
	mux.HandleFunc("POST "+pathBackup, handleJSON(v, maxRequestBytes, func(context.Context, struct{}) (Backup, error) {
		return v.Backup()
	}))
	mux.HandleFunc("POST "+pathRestoreBackup, handleJSON(v, maxBackupBytes, func(_ context.Context, b Backup) (struct{}, error) {
		return struct{}{}, v.RestoreBackup(b)
	}))
	return mux
}

// handleJSON returns a handler that decodes a request of at most maxBytes, passes it to call and encodes the response
// of call.
func handleJSON[Request, Response any](v *Voter, maxBytes int64, call func(context.Context, Request) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		resp, err := call(r.Context(), req)
		var text []byte
		if err == nil {
			text, err = json.Marshal(resp)
		}
		if err != nil {
			v.writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text) // a client that does not receive the response calls again
	}
}

// writeError writes an error response. Its status determines whether the client retries: after 421 it calls the
// leader, after 409 it does not retry, and after 503 it retries.
func (v *Voter) writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, ErrNotLeader):
		status = http.StatusMisdirectedRequest
		w.Header().Set(leaderHeader, v.Leader())
	case errors.Is(err, ErrVoterChange), errors.Is(err, ErrBackup):
		status = http.StatusConflict
	}
	http.Error(w, err.Error(), status)
}
