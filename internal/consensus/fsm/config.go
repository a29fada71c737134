package fsm

import (
	"errors"
	"strings"

	"jasperpin/internal/configlog"
)

// proposeConfig executes ProposeConfig.
func (s *State) proposeConfig(command Command) Result {
	change, err := configlog.DecodeChange(command.Change)
	if err == nil {
		change, err = s.config.Propose(change)
	}
	if err != nil {
		return rejectedProposal(err)
	}
	return Result{Version: change.Version}
}

// rejectedProposal returns the Result for a rejected proposal: the code for the error, and the text of the
// error. It removes the prefix of configlog.ErrConflict, which Result.Err restores from the code.
func rejectedProposal(err error) Result {
	code := codeMalformed
	switch {
	case errors.Is(err, configlog.ErrConflict):
		code = codeConflict
	case errors.Is(err, configlog.ErrFull):
		code = codeFull
	}
	detail := strings.TrimPrefix(err.Error(), configlog.ErrConflict.Error()+": ")
	detail = detail[:min(len(detail), maxDetail)]
	return Result{Code: code, Detail: strings.ToValidUTF8(detail, "")}
}
