package berylview

import (
	"context"
	"errors"
	"time"

	"berylspan/core/beryllisted"
	"berylspan/core/berylpublished"
)

// Batch is what one read of the store brought: all of it when Whole is set, and
// else what changed. Published is nil when it brought no configuration.
type Batch struct {
	Revision  int64
	Whole     bool
	Raw       []byte
	Published *berylpublished.Config
	Set       []beryllisted.Registration
	Gone      []string
	Findings  []string // faults in what was published
}

// Feed reads the store. All reads everything; Next waits up to wait for changes
// after a revision. Decode reads a configuration that another instance passed
// on.
type Feed struct {
	All    func(ctx context.Context) (*Batch, error)
	Next   func(ctx context.Context, after int64, wait time.Duration) (*Batch, error)
	Decode func(raw []byte) (*berylpublished.Config, error)
}

// ErrHistory says that the store no longer holds the changes asked for.
var ErrHistory = errors.New("the history is no longer available") //nolint:gochecknoglobals // A sentinel.
