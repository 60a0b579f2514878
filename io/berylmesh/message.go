package berylmesh

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylhttpstatus"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"golang.org/x/net/http2/hpack"
)

// Names of fields that are not HTTP headers. A field with several values separates them
// by spaces.
const (
	fieldMethod     = ":m"
	fieldURI        = ":u"
	fieldHost       = ":h"
	fieldID         = ":i"
	fieldRule       = ":r" // rule, service, flags (r: idempotent, c: nested call, t: trial), rank and importance
	fieldServer     = ":t" // id and start of the backend server, the limit that it named ("-" for none) and that of a cold one, if any
	fieldWorkspace  = ":w"
	fieldCaller     = ":c"
	fieldDeadlines  = ":d" // milliseconds left until the deadline and until the target time, and the fingerprint of a request with a streamed body
	fieldBodyLength = ":n" // length of a chunked body, if known; of the body that a reply to HEAD leaves out, -1 if unknown
	fieldStatus     = ":s"
	fieldFailure    = ":e" // outcome, reason, retry-after in milliseconds, id of the actual backend server, and which request of the connection it is the reply to
	fieldLoad       = ":l" // busy, limit, mean service time and queue time in milliseconds
)

// writeRequest sends a request. Of a streamed body it sends only the first part, which
// is in Body. After an error, mayBeRead reports whether the instance may handle the request.
func (m *Mesh) writeRequest(c *conn, req *berylrequest.Request) (mayBeRead bool, err error) {
	now := time.Now()
	c.requests++
	c.startMessage()
	c.writeField(fieldMethod, req.Method, true)
	c.writeField(fieldURI, req.URI, false)
	c.writeField(fieldHost, req.Host, true)
	c.writeField(fieldID, req.ID, false)
	flags := "-"
	if req.Idempotent {
		flags = "r"
	}
	if req.Nested {
		flags += "c"
	}
	if req.Trial {
		flags += "t"
	}
	c.writeField(fieldRule, req.Rule+" "+req.Service+" "+flags+" "+strconv.Itoa(req.Rank)+" "+strconv.Itoa(req.Importance), true)
	c.writeField(fieldServer, formatServer(req), true)
	c.writeField(fieldWorkspace, req.Workspace, true)
	c.writeField(fieldCaller, req.Caller, true)
	deadlines := strconv.FormatInt(req.Deadline.Sub(now).Milliseconds(), 10) + " " + strconv.FormatInt(req.TargetTime.Sub(now).Milliseconds(), 10)
	if req.StreamFingerprint != 0 {
		// Here because older builds ignore further words, but pass on fields that they don't know.
		deadlines += " " + strconv.FormatUint(req.StreamFingerprint, 16)
	}
	c.writeField(fieldDeadlines, deadlines, false)
	for name, values := range req.Header {
		if name == m.names.RequestID || name == m.names.TimeLeft {
			continue // Sent above as fieldID and fieldDeadlines.
		}
		for _, v := range values {
			c.writeField(name, v, true)
		}
	}
	if req.Stream != nil && req.Length >= 0 {
		c.writeField(fieldBodyLength, strconv.FormatInt(req.Length, 10), false)
	}
	return c.writeMessage(req.Body, req.Stream == nil)
}

// formatServer returns what a request tells of its backend server. Words that come last are
// left out if they say nothing; older instances ignore further ones.
func formatServer(req *berylrequest.Request) string {
	server := req.ServerID + " " + strconv.FormatInt(req.ServerStartMs, 10)
	switch {
	case req.ServerLimited:
		server += " " + strconv.FormatFloat(req.ServerLimit, 'f', -1, 64)
	case req.ColdPerSecond > 0:
		server += " -"
	}
	if req.ColdPerSecond > 0 {
		server += " " + strconv.FormatFloat(req.ColdPerSecond, 'f', -1, 64)
	}
	return server
}

// parseServer sets what a request tells of its backend server.
func parseServer(req *berylrequest.Request, s string) {
	v := splitWords(s, 4)
	req.ServerID, req.ServerStartMs = v[0], parseInt(v[1])
	limit, err := strconv.ParseFloat(v[2], 64) // Fails if the field has no third word.
	req.ServerLimit, req.ServerLimited = limit, err == nil && limit >= 0
	if cold, err := strconv.ParseFloat(v[3], 64); err == nil && cold > 0 && cold <= maxColdPerSecond {
		req.ColdPerSecond = cold
	}
}

const maxColdPerSecond = 1e6 // requests; a higher one is malformed

// parseMillis reads a number of milliseconds, like parseInt.
func parseMillis(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// splitWords splits a field at spaces and pads the result with empty strings to n words.
func splitWords(s string, n int) []string {
	out := strings.Split(s, " ")
	for len(out) < n {
		out = append(out, "")
	}
	return out
}

// parseInt reads an integer. A malformed one counts as 0: these values are hints from an
// instance of the same version.
func parseInt(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// readRequest reads a request. A chunked body is left in Stream, to be read from the
// connection.
func (m *Mesh) readRequest(c *conn) (*berylrequest.Request, error) {
	c.requests++
	req := &berylrequest.Request{Header: http.Header{}, Length: -1}
	bodyLength, err := c.readHead(func(f hpack.HeaderField) {
		switch f.Name {
		case fieldMethod:
			req.Method = f.Value
		case fieldURI:
			req.URI = f.Value
		case fieldHost:
			req.Host = f.Value
		case fieldID:
			req.ID = f.Value
		case fieldRule:
			v := splitWords(f.Value, 5)
			req.Rule, req.Service, req.Rank, req.Importance = v[0], v[1], int(parseInt(v[3])), int(parseInt(v[4]))
			req.Idempotent, req.Nested, req.Trial = strings.Contains(v[2], "r"), strings.Contains(v[2], "c"), strings.Contains(v[2], "t")
		case fieldServer:
			parseServer(req, f.Value)
		case fieldWorkspace:
			req.Workspace = f.Value
		case fieldCaller:
			req.Caller = f.Value
		case fieldDeadlines:
			now, v := time.Now(), splitWords(f.Value, 3)
			req.Deadline, req.TargetTime = now.Add(parseMillis(v[0])), now.Add(parseMillis(v[1]))
			if n, err := strconv.ParseUint(v[2], 16, 64); err == nil { // Not if the field has no third word.
				req.StreamFingerprint = n
			}
		case fieldBodyLength:
			req.Length = parseInt(f.Value)
		default:
			req.Header[f.Name] = append(req.Header[f.Name], f.Value)
		}
	})
	if err != nil {
		return nil, err
	}
	if req.ID == "" || req.URI == "" || req.Method == "" {
		return nil, errMalformed
	}
	if bodyLength < 0 {
		req.Stream = &chunkReader{br: c.br}
		return req, nil
	}
	req.Length = int64(bodyLength)
	req.Body, err = c.readBody(bodyLength)
	return req, err
}

// writeReply sends the reply to req with its whole body.
func (m *Mesh) writeReply(c *conn, req *berylrequest.Request, reply *berylreply.Reply) error {
	c.startMessage()
	if reply.HasLoad {
		c.writeField(fieldLoad, strconv.Itoa(reply.Busy)+" "+strconv.Itoa(reply.Limit)+" "+
			strconv.FormatInt(reply.MeanServiceTime.Milliseconds(), 10)+" "+strconv.FormatInt(reply.QueueTime.Milliseconds(), 10), false)
	}
	if reply.Outcome != berylattempt.Answered {
		failure := reply.Outcome.String() + " " + reply.Reason + " " + strconv.FormatInt(reply.RetryAfter.Milliseconds(), 10) + " " + reply.ActualServerID
		if c.requests > 0 {
			failure += " " + strconv.Itoa(c.requests) // Older builds ignore further words.
		}
		c.writeField(fieldFailure, failure, false)
		_, err := c.writeMessage(nil, true)
		return err
	}
	c.writeField(fieldStatus, strconv.Itoa(reply.Status), true)
	for name, values := range reply.Header {
		for _, v := range values {
			if name == m.names.RequestID && v == req.ID {
				v = "" // readReply restores it from the request.
			}
			c.writeField(name, v, len(v) < minUniqueLength)
		}
	}
	if reply.Stream == nil && len(reply.Body) <= maxWholeBody {
		if len(reply.Body) == 0 && reply.Length != 0 {
			c.writeField(fieldBodyLength, strconv.FormatInt(reply.Length, 10), false)
		}
		_, err := c.writeMessage(reply.Body, true)
		return err
	}
	if reply.Length >= 0 {
		c.writeField(fieldBodyLength, strconv.FormatInt(reply.Length, 10), false)
	}
	if _, err := c.writeMessage(nil, false); err != nil {
		return err
	}
	return c.writeChunks(reply.Reader())
}

// Header values of at least minUniqueLength bytes are assumed to be unique and are not
// entered in the HPACK table.
const minUniqueLength = 20

// readReply reads the reply to the request with the given id. A chunked body is left in
// Stream, to be read from the connection.
func (m *Mesh) readReply(c *conn, requestID string) (*berylreply.Reply, error) {
	reply := &berylreply.Reply{Outcome: berylattempt.Answered, Header: http.Header{}, Length: -1}
	lengthTold, otherRequest := false, false
	bodyLength, err := c.readHead(func(f hpack.HeaderField) {
		switch f.Name {
		case fieldStatus:
			reply.Status = int(parseInt(f.Value))
		case fieldFailure:
			v := splitWords(f.Value, 5)
			reply.Outcome, reply.Reason, reply.RetryAfter, reply.ActualServerID = berylattempt.Parse(v[0]), v[1], parseMillis(v[2]), v[3]
			otherRequest = v[4] != "" && v[4] != strconv.Itoa(c.requests) // Older builds don't tell.
		case fieldLoad:
			v := splitWords(f.Value, 4)
			reply.Busy, reply.Limit, reply.MeanServiceTime = int(parseInt(v[0])), int(parseInt(v[1])), parseMillis(v[2])
			reply.QueueTime, reply.HasLoad = parseMillis(v[3]), true
		case fieldBodyLength:
			reply.Length, lengthTold = parseInt(f.Value), true
		default:
			v := f.Value
			if f.Name == m.names.RequestID && v == "" {
				v = requestID
			}
			reply.Header[f.Name] = append(reply.Header[f.Name], v)
		}
	})
	switch {
	case err != nil:
		return nil, err
	case otherRequest, reply.Outcome == berylattempt.Answered && !berylhttpstatus.IsFinal(reply.Status):
		return nil, errMalformed
	case bodyLength < 0:
		reply.Stream = io.NopCloser(&chunkReader{br: c.br})
		return reply, nil
	}
	if bodyLength > 0 || !lengthTold {
		reply.Length = int64(bodyLength)
	}
	reply.Body, err = c.readBody(bodyLength)
	return reply, err
}

// readBody reads a body of n bytes. It returns nil if n is 0.
func (c *conn) readBody(n int) ([]byte, error) {
	if n == 0 {
		return nil, nil
	}
	body := make([]byte, n)
	_, err := io.ReadFull(c.br, body)
	return body, err
}
