package berylstorecache

import (
	"context"
	"errors"
	"time"

	"berylspan/core/berylhttpconfig"
	"berylspan/core/berylregistration"
)

// ReadResult is the result of a read of the store: everything if Full is set, otherwise
// the changes since an earlier read.
type ReadResult struct {
	Era        int64 // of the store, higher each time that it is restored from a copy; 0 if it has no eras
	Revision   int64 // up to which the store was read
	Full       bool
	RawConfig  []byte                           // as published
	Config     *berylhttpconfig.Config          // nil if the read brought no configuration
	Updated    []berylregistration.Registration // new or changed servers
	RemovedIDs []string                         // of servers
	Findings   []string                         // faults in published items

	// Evacuations holds changes by data centre: true if it is evacuated, false if that was taken
	// back. If Full is set, it holds all that are evacuated.
	Evacuations map[string]bool
}

// Source reads the store. WaitForChanges waits up to wait for changes after a revision.
// DecodeConfig decodes the raw configuration in a snapshot of another instance.
type Source struct {
	ReadAll        func(ctx context.Context) (*ReadResult, error)
	WaitForChanges func(ctx context.Context, after int64, wait time.Duration) (*ReadResult, error)
	DecodeConfig   func(raw []byte) (*berylhttpconfig.Config, error)
}

// ErrCompacted means that the store has discarded the changes after the given revision.
var ErrCompacted = errors.New("store has discarded the changes after the known revision") //nolint:gochecknoglobals // A sentinel.
