package beryltransport_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylexchange"
	"berylspan/io/berylheader"
	"berylspan/io/berylrelay"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const attemptsPerID = 3

// serveCopies refuses the first call of each id, and answers the others with their number. Before a
// response it writes copies of all earlier ones with the same id, on their streams.
func serveCopies(c net.Conn) error {
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return err
	}
	f := http2.NewFramer(c, c)
	f.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	if err := f.WriteSettings(); err != nil {
		return err
	}
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	respond := func(stream uint32, id string, n int) error {
		status, run, body := "200", "", fmt.Sprintf(`{"n":%d}`, n)
		if n == 0 {
			status, run, body = "503", "not run", `{"code":"unavailable"}`
		}
		block.Reset()
		for _, field := range []hpack.HeaderField{{Name: ":status", Value: status}, {Name: "content-type", Value: "application/json"}, {Name: "beryl-call", Value: id}, {Name: "beryl-run", Value: run}} {
			if err := enc.WriteField(field); err != nil {
				return err
			}
		}
		if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true}); err != nil {
			return err
		}
		return f.WriteData(stream, true, []byte(body))
	}
	ids, streams := map[uint32]string{}, map[string][]uint32{}
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return err
		}
		switch fr := frame.(type) {
		case *http2.MetaHeadersFrame:
			for _, field := range fr.RegularFields() {
				if field.Name == "beryl-call" {
					ids[fr.StreamID] = field.Value
				}
			}
		case *http2.PingFrame:
			if !fr.IsAck() {
				err = f.WritePing(true, fr.Data)
			}
		case *http2.SettingsFrame:
			if !fr.IsAck() {
				err = f.WriteSettingsAck()
			}
		}
		if err != nil {
			return err
		}
		data, ok := frame.(*http2.DataFrame)
		if !ok || !data.StreamEnded() {
			continue
		}
		id := ids[data.StreamID]
		streams[id] = append(streams[id], data.StreamID)
		for n, stream := range streams[id] {
			if err := respond(stream, id, n); err != nil {
				return err
			}
		}
	}
}

// Guards against a copy of a refusal that counts for a later call with its id on HTTP/2, towards
// backend servers and between daemons.
func TestHTTP2CopyOfARefusalIsTakenForThatOfTheNextCall(t *testing.T) {
	for _, tc := range []struct {
		name   string
		client connect.HTTPClient
	}{
		{"backend server", beryltransport.HTTP2(beryltransport.NetDial(), nil)},
		{"another daemon", beryltransport.NewFailoverClient(beryltransport.NetDial(), nil)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			var conns atomic.Int32
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					conns.Add(1)
					go func() {
						defer func() { _ = c.Close() }()
						if err := serveCopies(c); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
							t.Log(err)
						}
					}()
				}
			}()
			relay := berylrelay.New(tc.client, "http", 1<<20)
			const ids = 20
			for i := range ids {
				for n := range attemptsPerID {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					x := &berylexchange.Exchange{Path: "/s.S/M", Codec: "json", Protocol: connect.ProtocolConnect, Header: http.Header{}, Body: []byte("{}")}
					out := relay.Do(ctx, ln.Addr().String(), x, http.Header{berylheader.Call: {strconv.Itoa(i)}}, time.Second)
					cancel()
					require.Nil(t, out.Refusal, "call %d, attempt %d", i, n)
					require.Equal(t, strconv.Itoa(i), out.Header.Get(berylheader.Call))
					if n == 0 {
						require.NotNil(t, out.Err)
						continue
					}
					require.Nil(t, out.Err, "call %d, attempt %d", i, n)
					require.JSONEq(t, fmt.Sprintf(`{"n":%d}`, n), string(out.Body))
				}
			}
			require.Equal(t, int32(1), conns.Load(), "connections")
		})
	}
}
