// Command jasperpin is a load balancer and the command-line tool of its operators. Without a command it
// serves with the configuration in the operator's file (-c), or without -c with the platform's
// configuration, in the file that GW_CONFIG names.
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
	exitConflict = 2 // a conflicting change was committed first
	exitUnknown  = 3 // it is unknown whether a change was committed
)

func main() {
	if err := rootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "jasperpin:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for a command's error.
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
