// Package berylupload lets several attempts, one after the other, send one streamed request
// body, without any of them sending a part of it as the whole.
package berylupload

import (
	"errors"
	"io"
	"sync"
)

// Upload is a streamed request body. It is safe for concurrent use: an attempt that has ended
// may still read while the next one begins.
type Upload struct {
	src io.Reader

	mu      sync.Mutex
	latest  *attempt
	started bool // a read of src was begun
}

// ErrSuperseded is returned to an attempt that reads after a later one began.
var ErrSuperseded = errors.New("another attempt sends the request body") //nolint:gochecknoglobals // A sentinel.

// New returns an upload that reads from src.
func New(src io.Reader) *Upload { return &Upload{src: src} }

// Attempt returns a reader of the whole body for one attempt and supersedes the readers of
// earlier ones. It returns false if the whole body cannot be sent any more, since an earlier
// attempt has read some of it.
func (u *Upload) Attempt() (io.Reader, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.started {
		return nil, false
	}
	u.latest = &attempt{upload: u}
	return u.latest, true
}

// CanRepeat reports whether Attempt would return a reader now.
func (u *Upload) CanRepeat() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.started
}

// attempt reads the body for one attempt.
type attempt struct{ upload *Upload }

// Read reads from the source of the upload, or fails with ErrSuperseded.
func (a *attempt) Read(p []byte) (int, error) {
	if !a.begin() {
		return 0, ErrSuperseded
	}
	return a.upload.src.Read(p)
}

// begin records that the source is read and reports whether the attempt may read it.
func (a *attempt) begin() bool {
	u := a.upload
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.latest != a {
		return false
	}
	u.started = true
	return true
}
