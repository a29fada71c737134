// Command jasperpin is a load balancer, with the commands by which operators run it. Without a
// command it serves: by the operator's file, or where none is named by the platform's, which
// GW_CONFIG names.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
)

// Exit codes.
const (
	exitFailed   = 1
	exitConflict = 2 // another change came first
	exitUnknown  = 3 // it is not known whether a change was agreed on
)

func main() {
	if err := rootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "jasperpin:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code of a command's error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, configlog.ErrConflict):
		return exitConflict
	case errors.Is(err, consensus.ErrUnknown):
		return exitUnknown
	default:
		return exitFailed
	}
}
