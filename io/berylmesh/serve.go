package berylmesh

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"berylspan/core/berylend"
	"berylspan/io/berylreply"
	"berylspan/io/berylwork"
)

// Handler returns the handler for work from other instances.
func (m *Mesh) Handler(run func(ctx context.Context, w *berylwork.Work) *berylreply.Reply) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(workPath, func(rw http.ResponseWriter, r *http.Request) {
		w, err := m.work(r)
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), w.Until)
		defer cancel()
		m.respond(rw, run(ctx, w))
	})
	return mux
}

var errWork = errors.New("the request does not come from an instance") //nolint:gochecknoglobals // A sentinel.

func (m *Mesh) work(r *http.Request) (*berylwork.Work, error) {
	h := r.Header
	now := time.Now()
	rule := take(h, fieldRule, 4)
	target := take(h, fieldTarget, 2)
	times := take(h, fieldTimes, 2)
	w := &berylwork.Work{
		ID: h.Get(m.names.Request), Method: r.Method, URI: h.Get(fieldURI), Host: r.Host, Header: h,
		Rule: rule[0], Service: rule[1], Instance: target[0],
		Workspace: h.Get(fieldOwner), Caller: h.Get(fieldCaller),
		Repeatable: strings.Contains(rule[2], "r"), Call: strings.Contains(rule[2], "c"),
		Until: now.Add(millis(times[0])), Aim: now.Add(millis(times[1])),
		Length: r.ContentLength,
	}
	var err, err2 error
	w.Rank, err = strconv.Atoi(rule[3])
	w.Born, err2 = strconv.ParseInt(target[1], 10, 64)
	if err != nil || err2 != nil || w.URI == "" || w.ID == "" {
		return nil, errWork
	}
	for _, name := range []string{fieldURI, fieldOwner, fieldCaller} {
		delete(h, name)
	}
	return w, m.body(r, w)
}

// body reads a short body whole, so that the backend server is not kept waiting
// for it.
func (m *Mesh) body(r *http.Request, w *berylwork.Work) error {
	if r.ContentLength == 0 {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, wholeAnswer))
	if err != nil {
		return err
	}
	w.Body = head
	if len(head) < wholeAnswer {
		w.Length = int64(len(head))
		return nil
	}
	w.Stream = r.Body
	return nil
}

func (m *Mesh) respond(rw http.ResponseWriter, out *berylreply.Reply) {
	defer out.Close()
	h := rw.Header()
	h[fieldLoad] = []string{strconv.Itoa(out.Busy) + " " + strconv.Itoa(out.Limit) + " " +
		strconv.FormatInt(out.Hold.Milliseconds(), 10) + " " + strconv.Itoa(int(out.Open*1000))}
	// The library would add these.
	h["Date"], h["Content-Type"] = nil, nil
	if out.End != berylend.Answered {
		h[fieldEnd] = []string{out.End.String() + " " + out.Reason + " " + strconv.FormatInt(out.After.Milliseconds(), 10) + " " + out.Actual}
		rw.WriteHeader(http.StatusOK)
		return
	}
	for name, vs := range out.Header {
		h[name] = vs
	}
	if out.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(out.Length, 10)}
	}
	rw.WriteHeader(out.Status)
	if _, err := rw.Write(out.Body); err != nil {
		return // The other instance has given up.
	}
	if out.Stream == nil {
		return
	}
	flush := http.NewResponseController(rw)
	buf := make([]byte, 16<<10)
	for {
		n, err := out.Stream.Read(buf)
		if n > 0 {
			if _, e := rw.Write(buf[:n]); e != nil {
				return // The other instance has given up.
			}
			_ = flush.Flush() // An error shows at the next write.
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			// Resets the stream, so that the answer looks broken off.
			panic(http.ErrAbortHandler)
		}
	}
}
