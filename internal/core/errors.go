package core

import "errors"

// Causes of an attempt's cancelled context.
var (
	ErrTimedOut  = errors.New("attempt timed out")
	ErrCancelled = errors.New("attempt cancelled")
)

// Errors of Pool.Submit.
var (
	ErrIDInUse = errors.New("request id is in use by an open request")
	ErrRetired = errors.New("pool is retired and accepts no requests")
)

// ErrUnknownServer means that no server with this id is listed. Operators see its text.
var ErrUnknownServer = errors.New("no such server is listed")
