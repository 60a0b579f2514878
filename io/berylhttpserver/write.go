package berylhttpserver

import (
	"errors"
	"io"
	"net/http"
	"strconv"
)

var (
	errLengthMismatch = errors.New("answer body does not have the declared length") //nolint:gochecknoglobals // A sentinel.
	errStatus         = errors.New("answer has a status that no answer may have")   //nolint:gochecknoglobals // A sentinel.
)

// write writes an answer. After an error the connection must be closed, so that the
// caller recognizes the answer as incomplete.
func (c *conn) write(a *Answer, closeConn bool) error {
	w := c.bw
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(a.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(a.Status))
	_, _ = w.WriteString("\r\n")
	if err := a.Header.Write(w); err != nil {
		return err
	}
	noBody := a.noBody()
	length := a.Length
	if a.Stream == nil && (!a.OmitBody || len(a.Body) > 0) {
		length = int64(len(a.Body))
	}
	chunked := length < 0 && !noBody

	switch {
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case !noBody || (a.OmitBody && length >= 0):
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(length, 10))
		_, _ = w.WriteString("\r\n")
	}
	if closeConn {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if !noBody {
		if err := c.writeBody(a, length, chunked); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (c *conn) writeBody(a *Answer, length int64, chunked bool) error {
	if chunked {
		return c.writeChunks(a)
	}
	if _, err := c.bw.Write(a.Body); err != nil {
		return err
	}
	if a.Stream == nil {
		return nil
	}
	sent := int64(len(a.Body))
	err := c.copy(a.Stream, func(p []byte) error {
		sent += int64(len(p))
		_, err := c.bw.Write(p)
		return err
	})
	if err == nil && sent != length {
		return errLengthMismatch
	}
	return err
}

// copy passes data from src to write as it arrives and flushes it. It fails if the caller
// does not accept the data within transferTimeout.
func (c *conn) copy(src io.Reader, write func(p []byte) error) error {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			c.setWriteTimeout()
			if writeErr := write(buf[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := c.bw.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

const copyBufferSize = 16 << 10 // bytes

func (c *conn) writeChunks(a *Answer) error {
	writeChunk := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		_, _ = c.bw.WriteString(strconv.FormatInt(int64(len(p)), 16))
		_, _ = c.bw.WriteString("\r\n")
		_, _ = c.bw.Write(p)
		_, err := c.bw.WriteString("\r\n")
		return err
	}
	if err := writeChunk(a.Body); err != nil {
		return err
	}
	if a.Stream != nil {
		if err := c.copy(a.Stream, writeChunk); err != nil {
			return err
		}
	}
	c.setWriteTimeout() // That of the last chunk may have passed.
	_, err := c.bw.WriteString("0\r\n\r\n")
	return err
}
