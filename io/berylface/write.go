package berylface

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

var errShort = errors.New("the answer ended early") //nolint:gochecknoglobals // A sentinel.

// write sends one answer. An error leaves it visibly incomplete.
func (c *conn) write(a *Answer, end bool) error {
	w := c.bw
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(a.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(a.Status))
	_, _ = w.WriteString("\r\n")
	if err := a.Header.Write(w); err != nil {
		return err
	}
	bodiless := a.Bare || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified || a.Status < 200
	length := a.Length
	if a.Stream == nil {
		length = int64(len(a.Body))
	}
	chunked := length < 0 && !bodiless

	switch {
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case !bodiless || (a.Bare && length >= 0):
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(length, 10))
		_, _ = w.WriteString("\r\n")
	}
	if end {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if !bodiless {
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
		return errShort
	}
	return err
}

// copy passes on what src yields as it comes. A caller that does not read for
// long is given up.
func (c *conn) copy(src io.Reader, pass func(p []byte) error) error {
	buf := make([]byte, copyBuffer)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			_ = c.nc.SetWriteDeadline(time.Now().Add(slowReader))
			if e := pass(buf[:n]); e != nil {
				return e
			}
			if e := c.bw.Flush(); e != nil {
				return e
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

const copyBuffer = 16 << 10 // bytes

func (c *conn) writeChunks(a *Answer) error {
	chunk := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		_, _ = c.bw.WriteString(strconv.FormatInt(int64(len(p)), 16))
		_, _ = c.bw.WriteString("\r\n")
		_, _ = c.bw.Write(p)
		_, err := c.bw.WriteString("\r\n")
		return err
	}
	if err := chunk(a.Body); err != nil {
		return err
	}
	if a.Stream != nil {
		if err := c.copy(a.Stream, chunk); err != nil {
			return err
		}
	}
	_, err := c.bw.WriteString("0\r\n\r\n")
	return err
}
