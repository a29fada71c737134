package core

import "errors"

// Why an attempt was given up: the cause of its context.
var (
	ErrTimedOut  = errors.New("attempt timed out")
	ErrCancelled = errors.New("attempt cancelled")
)

// Why a request was not taken.
var (
	ErrIDInUse = errors.New("request id is in use by an open request")
	ErrRetired = errors.New("pool is retired and takes no requests")
)

// ErrUnknown says that no server of this id is listed. Operators see its text.
var ErrUnknown = errors.New("no such server is listed")
