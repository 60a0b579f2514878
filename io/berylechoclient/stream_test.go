package berylechoclient_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"berylspan/core/berylexchange"
	"berylspan/io/berylheader"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
)

func envelope(flags byte, data string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{flags}, uint32(len(data))), data...)
}

// streamed returns an answer of one message to a streaming call.
func streamed(id, msg string) string {
	const message, end = 0, 2
	b := append(envelope(message, msg), envelope(end, "{}")...)
	return fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Type: application/connect+json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", berylheader.Call, id, len(b), b)
}

// A copy of a stream counted for a later stream of the same root.
func TestCopyOfAStreamIsTakenForTheNextStreamWithItsID(t *testing.T) {
	addr, conns := startAnswering(t, func() answerer {
		earlier := map[string]string{}
		return func(id, body string) string {
			res := streamed(id, body[5:]) // After the prefix of the message.
			copied := earlier[id]
			earlier[id] = res
			return copied + res
		}
	})
	c := newCaller(t, addr)
	const ids, perID = 40, 4
	wrong := 0
	for i := range ids * perID {
		want, got := fmt.Sprintf(`{"n":%d}`, i), ""
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		x := &berylexchange.Exchange{
			Path: "/s.S/M", Codec: "json", Protocol: connect.ProtocolConnect, Header: http.Header{}, Body: []byte(want),
			Sink: func(_ http.Header, msg []byte) error {
				got += string(msg)
				return nil
			},
		}
		out := c.relay.Do(ctx, addr, x, http.Header{berylheader.Call: {strconv.Itoa(i / perID)}}, time.Second)
		cancel()
		require.Nil(t, out.Refusal, "stream %d", i)
		if got != want {
			wrong++
		}
	}
	require.Zero(t, wrong, "streams with the messages of another one, of %d", ids*perID)
	require.LessOrEqual(t, conns.Load(), int32(perID+1))
}
