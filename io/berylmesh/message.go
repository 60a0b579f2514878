package berylmesh

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"golang.org/x/net/http2/hpack"
)

// Names of fields that are not headers of the request or answer.
const (
	fieldMethod = ":m"
	fieldURI    = ":u"
	fieldHost   = ":h"
	fieldID     = ":i"
	fieldRule   = ":r" // rule, service, flags, rank and step
	fieldTarget = ":t" // backend server and its lifetime
	fieldOwner  = ":w" // workspace
	fieldCaller = ":c"
	fieldTimes  = ":d" // milliseconds until useless, and until no longer of full use
	fieldLength = ":n" // of a body that comes in chunks, when known
	fieldStatus = ":s"
	fieldEnd    = ":e" // end, reason, milliseconds to wait, and backend server
	fieldLoad   = ":l" // busy, limit, milliseconds of one request, and milliseconds in line
)

// ask writes the work to a lane.
func (m *Mesh) ask(l *lane, w *berylrequest.Request) error {
	now := time.Now()
	l.begin()
	l.field(fieldMethod, w.Method, true)
	l.field(fieldURI, w.URI, false)
	l.field(fieldHost, w.Host, true)
	l.field(fieldID, w.ID, false)
	flags := "-"
	if w.Idempotent {
		flags = "r"
	}
	if w.Nested {
		flags += "c"
	}
	l.field(fieldRule, w.Rule+" "+w.Service+" "+flags+" "+strconv.Itoa(w.Rank)+" "+strconv.Itoa(w.Importance), true)
	l.field(fieldTarget, w.ServerID+" "+strconv.FormatInt(w.ServerStartMs, 10), true)
	l.field(fieldOwner, w.Workspace, true)
	l.field(fieldCaller, w.Caller, true)
	l.field(fieldTimes, strconv.FormatInt(w.Deadline.Sub(now).Milliseconds(), 10)+" "+strconv.FormatInt(w.TargetTime.Sub(now).Milliseconds(), 10), false)
	for name, values := range w.Header {
		if name == m.names.RequestID || name == m.names.TimeLeft {
			continue // Said above.
		}
		for _, v := range values {
			l.field(name, v, true)
		}
	}
	if w.Stream != nil && w.Length >= 0 {
		l.field(fieldLength, strconv.FormatInt(w.Length, 10), false)
	}
	return l.send(w.Body, w.Stream == nil)
}

func millis(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// words splits a field into at least n words.
func words(s string, n int) []string {
	out := strings.Split(s, " ")
	for len(out) < n {
		out = append(out, "")
	}
	return out
}

// number reads a whole number; what cannot be read counts as 0, as these are
// hints of an instance of the same version.
func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// work reads work from a lane.
func (m *Mesh) work(l *lane) (*berylrequest.Request, error) {
	w := &berylrequest.Request{Header: http.Header{}, Length: -1}
	n, err := l.receive(func(f hpack.HeaderField) {
		switch f.Name {
		case fieldMethod:
			w.Method = f.Value
		case fieldURI:
			w.URI = f.Value
		case fieldHost:
			w.Host = f.Value
		case fieldID:
			w.ID = f.Value
		case fieldRule:
			v := words(f.Value, 5)
			w.Rule, w.Service, w.Rank, w.Importance = v[0], v[1], int(number(v[3])), int(number(v[4]))
			w.Idempotent, w.Nested = strings.Contains(v[2], "r"), strings.Contains(v[2], "c")
		case fieldTarget:
			v := words(f.Value, 2)
			w.ServerID, w.ServerStartMs = v[0], number(v[1])
		case fieldOwner:
			w.Workspace = f.Value
		case fieldCaller:
			w.Caller = f.Value
		case fieldTimes:
			now, v := time.Now(), words(f.Value, 2)
			w.Deadline, w.TargetTime = now.Add(millis(v[0])), now.Add(millis(v[1]))
		case fieldLength:
			w.Length = number(f.Value)
		default:
			w.Header[f.Name] = append(w.Header[f.Name], f.Value)
		}
	})
	if err != nil {
		return nil, err
	}
	if w.ID == "" || w.URI == "" || w.Method == "" {
		return nil, errFrame
	}
	if n < 0 {
		w.Stream = &chunked{br: l.br}
		return w, nil
	}
	w.Length = int64(n)
	w.Body, err = l.whole(n)
	return w, err
}

// answer writes a reply to a lane.
func (m *Mesh) answer(l *lane, w *berylrequest.Request, out *berylreply.Reply) error {
	l.begin()
	l.field(fieldLoad, strconv.Itoa(out.Busy)+" "+strconv.Itoa(out.Limit)+" "+
		strconv.FormatInt(out.MeanServiceTime.Milliseconds(), 10)+" "+strconv.FormatInt(out.QueueTime.Milliseconds(), 10), false)
	if out.Outcome != berylattempt.Answered {
		l.field(fieldEnd, out.Outcome.String()+" "+out.Reason+" "+strconv.FormatInt(out.RetryAfter.Milliseconds(), 10)+" "+out.ActualServerID, false)
		return l.send(nil, true)
	}
	l.field(fieldStatus, strconv.Itoa(out.Status), true)
	for name, values := range out.Header {
		for _, v := range values {
			if name == m.names.RequestID && v == w.ID {
				v = "" // The asker knows it.
			}
			l.field(name, v, len(v) < shortValue)
		}
	}
	if out.Stream == nil && len(out.Body) <= wholeBody {
		return l.send(out.Body, true)
	}
	if out.Length >= 0 {
		l.field(fieldLength, strconv.FormatInt(out.Length, 10), false)
	}
	if err := l.send(nil, false); err != nil {
		return err
	}
	return l.stream(out.Reader())
}

// shortValue is the length from which values are taken to be unique.
const shortValue = 20

// reply reads a reply from a lane.
func (m *Mesh) reply(l *lane, id string) (*berylreply.Reply, error) {
	out := &berylreply.Reply{Outcome: berylattempt.Answered, Header: http.Header{}, Length: -1}
	n, err := l.receive(func(f hpack.HeaderField) {
		switch f.Name {
		case fieldStatus:
			out.Status = int(number(f.Value))
		case fieldEnd:
			v := words(f.Value, 4)
			out.Outcome, out.Reason, out.RetryAfter, out.ActualServerID = berylattempt.Parse(v[0]), v[1], millis(v[2]), v[3]
		case fieldLoad:
			v := words(f.Value, 4)
			out.Busy, out.Limit, out.MeanServiceTime = int(number(v[0])), int(number(v[1])), millis(v[2])
			out.QueueTime, out.HasLoad = millis(v[3]), true
		case fieldLength:
			out.Length = number(f.Value)
		default:
			v := f.Value
			if f.Name == m.names.RequestID && v == "" {
				v = id
			}
			out.Header[f.Name] = append(out.Header[f.Name], v)
		}
	})
	switch {
	case err != nil:
		return nil, err
	case out.Outcome == berylattempt.Answered && out.Status == 0:
		return nil, errFrame
	case n < 0:
		out.Stream = io.NopCloser(&chunked{br: l.br})
		return out, nil
	}
	out.Length = int64(n)
	out.Body, err = l.whole(n)
	return out, err
}

// whole reads a body of n bytes, nil of none.
func (l *lane) whole(n int) ([]byte, error) {
	if n == 0 {
		return nil, nil
	}
	body := make([]byte, n)
	_, err := io.ReadFull(l.br, body)
	return body, err
}
