package beryltransport_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"berylspan/io/beryltransport"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const endlessFields = 8 << 10 // bytes of header fields in a frame, which may have 16 KB

// sendEndlessHead answers the first request of a connection with a head that goes on until the
// connection is closed.
func sendEndlessHead(c net.Conn, field hpack.HeaderField) {
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	f := http2.NewFramer(c, c)
	if err := f.WriteSettings(); err != nil {
		return
	}
	var stream uint32
	for stream == 0 {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		if h, ok := frame.(*http2.HeadersFrame); ok {
			stream = h.StreamID
		}
	}
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	_ = enc.WriteField(hpack.HeaderField{Name: ":status", Value: "200"}) // Writing to a buffer does not fail.
	err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes()})
	block.Reset()
	for block.Len() < endlessFields {
		_ = enc.WriteField(field) // As above.
	}
	go func() { _, _ = io.Copy(io.Discard, c) }() // Ends with the connection.
	for err == nil {
		err = f.WriteContinuation(stream, false, block.Bytes())
	}
}

// Guards against a head without end on HTTP/2, which uses up the memory of the process.
func TestHTTP2HeadWithoutEndIsKept(t *testing.T) {
	for _, tc := range []struct {
		name  string
		field hpack.HeaderField
	}{
		{"literal fields", hpack.HeaderField{Name: "x-filler", Value: strings.Repeat("a", 100), Sensitive: true}},
		{"indexed fields", hpack.HeaderField{Name: "x-filler", Value: strings.Repeat("a", 3000)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				sendEndlessHead(c, tc.field)
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ln.Addr().String()+"/", http.NoBody)
			require.NoError(t, err)
			_, err = beryltransport.HTTP2(beryltransport.NetDial(), nil).Do(req)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "the request ended only with its deadline")
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4<<20), "bytes allocated for the head")
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection was not closed within 2 s")
			}
		})
	}
}
