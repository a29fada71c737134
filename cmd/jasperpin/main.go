// Command jasperpin is a load balancer. With no command it serves: by the file
// that the operator owns or, where GW_CONFIG is set and no file is named, by what
// the platform tells.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
)

// Exit codes of what failed.
const (
	exitFailed  = 1
	exitLost    = 2 // another's change came first
	exitUnknown = 3 // it is not known what became of a change
)

func main() {
	if err := root().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "jasperpin:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, configlog.ErrConflict):
		return exitLost
	case errors.Is(err, consensus.ErrUnknown):
		return exitUnknown
	}
	return exitFailed
}
