package berylmesh

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/net/http2/hpack"
)

// lane is one connection between two instances. It carries one request at a
// time, so that a lost packet holds up no other.
//
// A message is its head, preceded by the lengths of head and body, and the body.
// Heads are HPACK blocks, whose tables last as long as the connection. A body of
// unknown length follows in chunks, each preceded by its length; an empty one
// ends it.
type lane struct {
	nc    net.Conn
	br    *bufio.Reader
	out   bytes.Buffer
	enc   *hpack.Encoder
	dec   *hpack.Decoder
	take  func(f hpack.HeaderField)
	since time.Time // when it became idle
}

const (
	lengths  = 8 // bytes
	chunks   = 0xffffffff
	mostHead = 256 << 10 // bytes
	buffer   = 2 << 10   // bytes
	table    = 4 << 10   // bytes of one direction's fields
)

var errFrame = errors.New("malformed message") //nolint:gochecknoglobals // A sentinel.

func newLane(nc net.Conn) *lane {
	l := &lane{nc: nc, br: bufio.NewReaderSize(nc, buffer)}
	l.enc = hpack.NewEncoder(&l.out)
	l.dec = hpack.NewDecoder(table, func(f hpack.HeaderField) { l.take(f) })
	return l
}

func (l *lane) close() { _ = l.nc.Close() } // The other side may have closed it first.

// begin starts a message.
func (l *lane) begin() {
	l.out.Reset()
	l.out.Write(make([]byte, lengths))
}

// field adds a field to the head. Those that are once remembered cost a byte.
func (l *lane) field(name, value string, remember bool) {
	// Writing to a buffer does not fail.
	_ = l.enc.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: !remember})
}

// send writes the message with a whole body, or with the first chunk of one.
func (l *lane) send(body []byte, whole bool) error {
	b := l.out.Bytes()
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengths)) //nolint:gosec // Bounded by the limits of heads.
	if whole {
		binary.BigEndian.PutUint32(b[4:], uint32(len(body))) //nolint:gosec // At most wholeBody.
		l.out.Write(body)
		_, err := l.nc.Write(l.out.Bytes())
		return err
	}
	binary.BigEndian.PutUint32(b[4:], chunks)
	if len(body) > 0 {
		l.out.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) //nolint:gosec // At most wholeBody.
		l.out.Write(body)
	}
	_, err := l.nc.Write(l.out.Bytes())
	return err
}

// stream sends the rest of a body in chunks.
func (l *lane) stream(r io.Reader) error {
	buf := make([]byte, 4+chunkSize)
	for {
		n, err := r.Read(buf[4:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n)) //nolint:gosec // At most chunkSize.
			_ = l.nc.SetWriteDeadline(time.Now().Add(slowReader))
			if _, e := l.nc.Write(buf[:4+n]); e != nil {
				return e
			}
		}
		if errors.Is(err, io.EOF) {
			_, e := l.nc.Write(make([]byte, 4))
			return e
		}
		if err != nil {
			return err
		}
	}
}

// receive reads a head and returns the length of the body, -1 for chunks.
func (l *lane) receive(take func(f hpack.HeaderField)) (int, error) {
	var b [lengths]byte
	if _, err := io.ReadFull(l.br, b[:]); err != nil {
		return 0, err
	}
	head, body := binary.BigEndian.Uint32(b[:]), binary.BigEndian.Uint32(b[4:])
	if head > mostHead || (body > wholeBody && body != chunks) {
		return 0, errFrame
	}
	block := make([]byte, head)
	if _, err := io.ReadFull(l.br, block); err != nil {
		return 0, err
	}
	l.take = take
	if _, err := l.dec.Write(block); err != nil {
		return 0, err
	}
	if err := l.dec.Close(); err != nil {
		return 0, err
	}
	if body == chunks {
		return -1, nil
	}
	return int(body), nil
}

// chunked reads a body that comes in chunks.
type chunked struct {
	br   *bufio.Reader
	left uint32
	done bool
}

// Read returns io.EOF only after the chunk that ends the body.
func (c *chunked) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.left == 0 {
		var b [4]byte
		if _, err := io.ReadFull(c.br, b[:]); err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		if c.left = binary.BigEndian.Uint32(b[:]); c.left == 0 {
			c.done = true
			return 0, io.EOF
		}
	}
	if uint32(len(p)) > c.left { //nolint:gosec // Buffers are small.
		p = p[:c.left]
	}
	n, err := c.br.Read(p)
	c.left -= uint32(n) //nolint:gosec // Not negative.
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
