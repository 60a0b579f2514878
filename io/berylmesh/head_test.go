package berylmesh

import (
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2/hpack"
)

// A repeated field takes one byte of an encoded head, so that a head within its size limit
// could decode to 1 GB of fields.
func TestHeadThatDecodesToTooMuchIsMalformed(t *testing.T) {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for block.Len() < maxHeadSize-8<<10 {
		require.NoError(t, enc.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("a", 3<<10)}))
	}
	head := binary.BigEndian.AppendUint32(nil, uint32(block.Len())) //nolint:gosec // Below maxHeadSize.
	head = binary.BigEndian.AppendUint32(head, 0)
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	go func() { _, _ = client.Write(append(head, block.Bytes()...)) }()
	require.NoError(t, server.SetDeadline(time.Now().Add(5*time.Second)))
	bytesRead := 0
	_, err := newConn(server).readHead(func(f hpack.HeaderField) { bytesRead += len(f.Value) })
	require.ErrorIs(t, err, errMalformed)
	require.LessOrEqual(t, bytesRead, maxFieldsSize)
}
