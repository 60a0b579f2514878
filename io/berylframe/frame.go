// Package berylframe passes messages through connect without decoding them.
package berylframe

import (
	"sync"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// Frame is one message as its sender encoded it. Codec is proto or json.
type Frame struct {
	Codec string
	Data  []byte

	pool *sync.Pool
}

// Release gives the bytes back for use by a later frame. The frame must not be
// used any more.
func (f *Frame) Release() {
	if f.pool != nil {
		f.pool.Put(&f.Data)
	}
}

// Names of the codecs that callers may choose.
const (
	Proto       = "proto"
	JSON        = "json"
	jsonCharset = "json; charset=utf-8"
)

type codec struct {
	name string
	pool *sync.Pool
}

// Codec returns a codec called name that copies bytes.
func Codec(name string) connect.Codec { return codec{name: name} }

// Pooled returns a codec whose frames take their bytes from pool and can be
// released.
func Pooled(name string, pool *sync.Pool) connect.Codec { return codec{name: name, pool: pool} }

func (c codec) Name() string { return c.name }

func (c codec) Marshal(v any) ([]byte, error) {
	f, ok := v.(*Frame)
	if !ok {
		return nil, eris.Errorf("not a frame: %T", v)
	}
	return f.Data, nil
}

// MarshalAppend lets connect write into a buffer of its own.
func (c codec) MarshalAppend(dst []byte, v any) ([]byte, error) {
	f, ok := v.(*Frame)
	if !ok {
		return nil, eris.Errorf("not a frame: %T", v)
	}
	return append(dst, f.Data...), nil
}

// MarshalStable is Marshal; connect asks for it for GET requests.
func (c codec) MarshalStable(v any) ([]byte, error) { return c.Marshal(v) }

// IsBinary tells connect how to write a message into a URL.
func (c codec) IsBinary() bool { return c.name == Proto }

func (c codec) Unmarshal(data []byte, v any) error {
	f, ok := v.(*Frame)
	if !ok {
		return eris.Errorf("not a frame: %T", v)
	}
	f.Codec = c.name
	if c.name == jsonCharset {
		f.Codec = JSON
	}
	f.Data = append(c.buffer(), data...)
	f.pool = c.pool
	return nil
}

// buffer returns an empty slice, one used before if there is any.
func (c codec) buffer() []byte {
	if c.pool == nil {
		return nil
	}
	if b, ok := c.pool.Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return nil
}

// HandlerOptions lets a handler take every codec.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(Codec(Proto)),
		connect.WithCodec(Codec(JSON)),
		connect.WithCodec(Codec(jsonCharset)),
	)
}
