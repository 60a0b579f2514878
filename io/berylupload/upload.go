// Package berylupload lets several attempts, one after the other, send one streamed request
// body, without any of them sending a part of it as the whole.
package berylupload

import (
	"errors"
	"io"
	"sync"
)

// Upload is a streamed request body. It keeps what was read of it, up to a limit, so that a
// later attempt can send all of it. It is safe for concurrent use: an attempt that has ended
// may still read while the next one begins.
type Upload struct {
	src     io.Reader
	maxKept int // bytes
	hold    func(n int64) bool
	srcMu   sync.Mutex // held while src is read

	mu        sync.Mutex
	latest    *attempt
	kept      []byte // all that was read, unless discarded
	held      int    // bytes that hold has allowed
	discarded bool   // more was read than may be kept
	err       error  // from src, after kept
}

const defaultMaxKept = 256 << 10 // bytes

// ErrSuperseded is returned to an attempt that reads after a later one began.
var ErrSuperseded = errors.New("another attempt sends the request body") //nolint:gochecknoglobals // A sentinel.

// MaxKept sets how many bytes are kept for a later attempt, instead of 256 KiB.
func MaxKept(n int) func(*Upload) { return func(u *Upload) { u.maxKept = n } }

// Hold sets the function that reports whether n more bytes may be kept.
func Hold(hold func(n int64) bool) func(*Upload) { return func(u *Upload) { u.hold = hold } }

// New returns an upload that reads from src.
func New(src io.Reader, opts ...func(*Upload)) *Upload {
	u := &Upload{src: src, maxKept: defaultMaxKept, hold: func(int64) bool { return true }}
	for _, opt := range opts {
		opt(u)
	}
	return u
}

// Attempt returns a reader of the whole body for one attempt and supersedes the readers of
// earlier ones. It returns false if the whole body cannot be sent any more, since more of it
// was read than is kept.
func (u *Upload) Attempt() (io.Reader, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.discarded {
		return nil, false
	}
	u.latest = &attempt{upload: u}
	return u.latest, true
}

// CanRepeat reports whether Attempt would return a reader now.
func (u *Upload) CanRepeat() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.discarded
}

// attempt reads the body for one attempt.
type attempt struct {
	upload *Upload
	sent   int // bytes of upload.kept that were read
}

// Read reads what is kept and then from the source of the upload. It fails with ErrSuperseded
// after a later attempt began.
func (a *attempt) Read(p []byte) (int, error) {
	u := a.upload
	u.mu.Lock()
	n, err, done := a.readKept(p)
	u.mu.Unlock()
	if done {
		return n, err
	}
	u.srcMu.Lock()
	defer u.srcMu.Unlock()
	// An earlier attempt may have read more in the meantime, or a later one may have begun. None can
	// begin any more once it is decided that what is read is not kept.
	u.mu.Lock()
	n, err, done = a.readKept(p)
	keep := !done && u.reserve(&p)
	u.mu.Unlock()
	if done {
		return n, err
	}
	n, err = u.src.Read(p)
	u.record(p[:n], keep, err)
	a.sent += n
	return n, err
}

// readKept reads what is kept, and reports whether that or an error is the result of Read. The
// caller holds mu.
func (a *attempt) readKept(p []byte) (n int, err error, done bool) { //nolint:revive // done tells whether to use the others.
	u := a.upload
	switch {
	case u.latest != a:
		return 0, ErrSuperseded, true
	case a.sent < len(u.kept):
		n = copy(p, u.kept[a.sent:])
		a.sent += n
		return n, nil, true
	}
	return 0, u.err, u.err != nil
}

// reserve shortens p to the part that may be read, and reports whether that is kept. The caller
// holds mu.
func (u *Upload) reserve(p *[]byte) bool {
	n := min(len(*p), u.maxKept-len(u.kept))
	if u.discarded || n == 0 || !u.mayKeep(len(u.kept)+n) {
		u.discarded, u.kept = true, nil
		return false
	}
	*p = (*p)[:n]
	return true
}

// mayKeep reports whether n bytes may be kept in total. The caller holds mu.
func (u *Upload) mayKeep(n int) bool {
	if n > u.held {
		if !u.hold(int64(n - u.held)) {
			return false
		}
		u.held = n
	}
	return true
}

func (u *Upload) record(p []byte, keep bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if keep {
		u.kept = append(u.kept, p...)
	}
	u.err = err
}
