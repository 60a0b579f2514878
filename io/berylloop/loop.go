// Package berylloop provides an event loop: a goroutine that owns some state and runs, one
// after another, the functions that read or change it.
package berylloop

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Loop is an event loop with a queue of functions. It is safe for concurrent use.
type Loop struct {
	queue chan func()
	done  chan struct{}
}

const queueSize = 1024 // functions

// New returns a loop that runs nothing before Run is called.
func New() *Loop {
	return &Loop{queue: make(chan func(), queueSize), done: make(chan struct{})}
}

// Run runs queued functions, and tick at every interval, until ctx ends. Functions that
// are still queued then are not run. Run must be called only once.
func (l *Loop) Run(ctx context.Context, interval time.Duration, tick func()) {
	defer close(l.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f()
		case <-ticker.C:
			tick()
		}
	}
}

// Do runs f on the loop and waits until it has returned. It must not be called from a
// function of the same loop. After an error f may have run or may still run.
func (l *Loop) Do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	if err := l.Post(ctx, func() { f(); close(ran) }); err != nil {
		return err
	}
	select {
	case <-ran:
		return nil
	case <-l.done:
		return eris.New("the loop has ended")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "loop")
	}
}

// Post queues f and does not wait for it, but for room if the queue is full. A queued
// function does not run if the loop ends first.
func (l *Loop) Post(ctx context.Context, f func()) error {
	select {
	case l.queue <- f:
		return nil
	case <-l.done:
		return eris.New("the loop has ended")
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "loop")
	}
}
