package berylmesh

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/berylmemorybudget"
	"berylspan/io/berylmemory"

	"golang.org/x/net/http2/hpack"
)

// conn is a connection between two instances. It carries one request at a time, so
// that a lost packet delays only that request.
//
// Replies carry no number: the reply that comes is that to the request under way, also if its id
// was sent on the connection before. For that to hold, a request is sent only after the whole reply
// to the one before was read, and a connection is closed, not used again, after a request that was
// cancelled or whose reply or body was not read to its end. Whoever sends a refusal that nobody asked
// for reads no further request: a request that crosses it does not run. A refusal tells
// which request of the connection it is the reply to, so that it counts for no other.
//
// A message consists of the lengths of head and body, the head, and the body. The head
// is an HPACK block; the HPACK tables live as long as the connection. A body that is
// streamed follows in chunks, each preceded by its length; an empty chunk ends it.
type conn struct {
	nc         net.Conn
	br         *bufio.Reader
	out        bytes.Buffer
	enc        *hpack.Encoder
	dec        *hpack.Decoder
	onField    func(f hpack.HeaderField)
	fieldsLeft int // bytes that the fields of the current head may still have
	idleSince  time.Time
	requests   int // sent or received on it so far
	acks       *ackWatch

	mem     *berylmemory.Holder // what received messages are charged to, nil for not
	fields  int                 // of the current head
	charged int64               // for the current message
}

const (
	prefixSize     = 8          // bytes: 4 for the length of the head, 4 for that of the body
	chunkedBody    = 0xffffffff // in place of the body length: the body follows in chunks
	maxHeadSize    = 256 << 10  // bytes, encoded
	maxFieldsSize  = 512 << 10  // bytes of all fields of a head, decoded; an indexed field takes one byte encoded
	fieldOverhead  = 32         // bytes that each decoded field counts in addition to its name and value
	readBufferSize = 2 << 10    // bytes
	lingerTime     = 500 * time.Millisecond
	lingerBytes    = 4 << 20  // of a request body that is not needed
	hpackTableSize = 4 << 10  // bytes, for each direction
	maxKeptBuffer  = 16 << 10 // bytes; a connection that is not in use keeps no more for messages to be sent
)

var errMalformed = errors.New("malformed message") //nolint:gochecknoglobals // Sentinel error.

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc, br: bufio.NewReaderSize(nc, readBufferSize), acks: newAckWatch(nc)}
	c.enc = hpack.NewEncoder(&c.out)
	c.dec = hpack.NewDecoder(hpackTableSize, func(f hpack.HeaderField) {
		c.fields++
		if c.fieldsLeft -= len(f.Name) + len(f.Value) + fieldOverhead; c.fieldsLeft >= 0 {
			c.onField(f)
		}
	})
	c.dec.SetMaxStringLength(maxHeadSize)
	return c
}

func (c *conn) close() { _ = c.nc.Close() } // The peer may have closed it already.

// startMessage discards the previous message and leaves room for the prefix of a new one.
func (c *conn) startMessage() {
	c.out.Reset()
	c.out.Write(make([]byte, prefixSize))
}

// writeField adds a field to the head. If index is set, the field is entered in the
// HPACK table, and repeating it on this connection costs one byte.
func (c *conn) writeField(name, value string, index bool) {
	// Writing to a bytes.Buffer does not fail.
	_ = c.enc.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: !index})
}

// writeMessage sends the message. If complete is set, body is the complete body,
// otherwise it is the first chunk. After an error, mayBeRead reports whether the peer may
// have received what it waits for before it handles the message: the complete message, or
// the head if the body is chunked.
func (c *conn) writeMessage(body []byte, complete bool) (mayBeRead bool, err error) {
	defer c.trim()
	b := c.out.Bytes()
	headEnd := len(b)
	binary.BigEndian.PutUint32(b, uint32(len(b)-prefixSize)) //nolint:gosec // Bounded by the size limits of headers.
	if complete {
		binary.BigEndian.PutUint32(b[4:], uint32(len(body))) //nolint:gosec // At most maxWholeBody.
		c.out.Write(body)
		n, err := c.nc.Write(c.out.Bytes())
		return n == c.out.Len(), err
	}
	c.acks.begin()
	binary.BigEndian.PutUint32(b[4:], chunkedBody)
	if len(body) > 0 {
		c.out.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) //nolint:gosec // At most maxWholeBody.
		c.out.Write(body)
	}
	n, err := c.nc.Write(c.out.Bytes())
	return n >= headEnd, err
}

// trim discards the buffer of a long message after it was sent.
func (c *conn) trim() {
	if c.out.Cap() > maxKeptBuffer {
		c.out = bytes.Buffer{}
	}
}

// charge reports whether n more bytes may be held for the current message.
func (c *conn) charge(n int64) bool {
	if c.mem == nil {
		return true
	}
	ok := c.mem.Charge(n)
	if ok {
		c.charged += n
	}
	return ok
}

// release records that the current message is no longer held.
func (c *conn) release() {
	if c.mem != nil {
		c.mem.Release(c.charged, false)
		c.charged = 0
	}
}

// sourceError is an error of the reader that a body is sent from.
type sourceError struct{ error }

func (e sourceError) Unwrap() error { return e.error }

// writeChunks sends r in chunks, followed by the empty chunk that ends the body. An error of
// r is returned as a sourceError.
func (c *conn) writeChunks(r io.Reader) error {
	defer c.acks.end()
	// The deadline must not fail a later message on this connection.
	defer func() { _ = c.nc.SetWriteDeadline(time.Time{}) }() // Fails only if the connection is closed.
	buf := make([]byte, 4+chunkSize)
	for {
		n, err := r.Read(buf[4:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n)) //nolint:gosec // At most chunkSize.
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, e := c.nc.Write(buf[:4+n]); e != nil {
				return e
			}
		}
		if errors.Is(err, io.EOF) {
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, e := c.nc.Write(make([]byte, 4))
			return e
		}
		if err != nil {
			return sourceError{err}
		}
	}
}

// linger tells the peer that no more is sent and discards what it still sends, for a
// bounded time and size. Closing a connection with unread bytes resets it, and the peer
// could lose the reply.
func (c *conn) linger() {
	if tc, ok := c.nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite() // The connection is closed afterwards in any case.
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.br, lingerBytes) // As above.
}

// readHead reads the prefix and the head of a message and calls onField for each field.
// It returns the length of the body, or -1 if the body is chunked, and a memoryError if the
// message may not be held.
func (c *conn) readHead(onField func(f hpack.HeaderField)) (int, error) {
	var b [prefixSize]byte
	if _, err := io.ReadFull(c.br, b[:]); err != nil {
		return 0, err
	}
	head, body := binary.BigEndian.Uint32(b[:]), binary.BigEndian.Uint32(b[4:])
	if head > maxHeadSize || (body > maxWholeBody && body != chunkedBody) {
		return 0, errMalformed
	}
	cost := berylmemorybudget.RequestCost + int64(head)
	if body != chunkedBody {
		cost += int64(body)
	}
	if !c.charge(cost) {
		return 0, c.skip(head, body)
	}
	block := make([]byte, head)
	if _, err := io.ReadFull(c.br, block); err != nil {
		return 0, err
	}
	c.onField, c.fieldsLeft, c.fields = onField, maxFieldsSize, 0
	if _, err := c.dec.Write(block); err != nil {
		return 0, err
	}
	if err := c.dec.Close(); err != nil {
		return 0, err
	}
	if c.fieldsLeft < 0 {
		return 0, errMalformed
	}
	if !c.charge(berylmemorybudget.HeadCost(0, c.fields) + int64(maxFieldsSize-c.fieldsLeft)) {
		return 0, c.skip(0, body)
	}
	if body == chunkedBody {
		return -1, nil
	}
	return int(body), nil
}

// memoryError is the error of a message that may not be held and was skipped. chunked is set if
// its body was not.
type memoryError struct{ chunked bool }

func (memoryError) Error() string { return "no memory for the message" }

// skip reads what is left of a message that may not be held, as far as its lengths are known. The
// head must pass through the HPACK decoder. It returns a memoryError, or that of the connection.
func (c *conn) skip(head, body uint32) error {
	c.onField, c.fieldsLeft = func(hpack.HeaderField) {}, maxFieldsSize
	if _, err := io.CopyN(c.dec, c.br, int64(head)); err != nil {
		return err
	}
	if err := c.dec.Close(); err != nil {
		return err
	}
	if body == chunkedBody {
		return memoryError{chunked: true}
	}
	if _, err := io.CopyN(io.Discard, c.br, int64(body)); err != nil {
		return err
	}
	return memoryError{}
}

// chunkReader reads a chunked body, until stop is called. It is safe for concurrent use.
type chunkReader struct {
	br   *bufio.Reader
	done atomic.Bool // the empty chunk was read

	mu        sync.Mutex // held while br is read
	remaining uint32     // bytes of the current chunk
	stopped   bool
}

// Read returns io.EOF only after the empty chunk, and io.ErrUnexpectedEOF if the
// connection ends before that.
func (c *chunkReader) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done.Load() {
		return 0, io.EOF
	}
	if c.stopped {
		return 0, io.ErrUnexpectedEOF
	}
	if c.remaining == 0 {
		var b [4]byte
		if _, err := io.ReadFull(c.br, b[:]); err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		if c.remaining = binary.BigEndian.Uint32(b[:]); c.remaining == 0 {
			c.done.Store(true)
			return 0, io.EOF
		}
	}
	if uint32(len(p)) > c.remaining { //nolint:gosec // Buffers are small.
		p = p[:c.remaining]
	}
	n, err := c.br.Read(p)
	c.remaining -= uint32(n) //nolint:gosec // n is not negative.
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// stop makes reads fail from now on, since what comes on the connection is no longer read as a body.
func (c *chunkReader) stop(nc net.Conn) {
	_ = nc.SetReadDeadline(time.Now()) // Ends a read in progress; fails only if the connection is closed.
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}
