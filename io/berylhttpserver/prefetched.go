package berylhttpserver

import (
	"errors"
	"io"
)

// prefetched is a stream of which the first part has been read.
type prefetched struct {
	io.ReadCloser
	first []byte
	err   error // of the first read
}

func newPrefetched(r io.ReadCloser) *prefetched {
	buf := make([]byte, copyBufferSize)
	n, err := r.Read(buf)
	return &prefetched{ReadCloser: r, first: buf[:n], err: err}
}

// failure returns the error of a stream that failed before its first byte.
func (s *prefetched) failure() error {
	if len(s.first) > 0 || errors.Is(s.err, io.EOF) {
		return nil
	}
	return s.err
}

// Read returns the first part, then what the first read ended with, then the rest.
func (s *prefetched) Read(p []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(p, s.first)
		s.first = s.first[n:]
		return n, nil
	}
	if s.err != nil {
		return 0, s.err
	}
	return s.ReadCloser.Read(p)
}
