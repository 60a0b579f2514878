// Package berylpanic keeps a panic in the handling of one input from ending the process and
// with it everything else that the process serves.
package berylpanic

import (
	"errors"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// ErrPanic stands for the result of a function that panicked. The panic itself is in the log.
var ErrPanic = errors.New("panic while one input was handled") //nolint:gochecknoglobals // A sentinel.

// Guard runs functions that handle one input each: a request, a datagram, a snapshot. It is
// safe for concurrent use.
type Guard struct {
	log     zerolog.Logger
	onPanic func(part string)
}

// OnPanic sets a function that is called after each panic, with the part of the program
// that panicked.
func OnPanic(f func(part string)) func(*Guard) { return func(g *Guard) { g.onPanic = f } }

// New returns a guard that logs panics.
func New(log zerolog.Logger, opts ...func(*Guard)) *Guard {
	g := &Guard{log: log, onPanic: func(string) {}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Run runs f and reports whether it returned. If f panics, the panic is logged with its
// stack and ends there. Functions passed to Run must hold locks only while a deferred call
// releases them.
func (g *Guard) Run(part string, f func()) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			g.log.Error().Str("part", part).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("panic while handling one input")
			g.onPanic(part)
		}
	}()
	f()
	return true
}

// Unguarded runs f without handling its panics. It is the default of the types that a guard
// can be set for.
func Unguarded(_ string, f func()) bool {
	f()
	return true
}
