package berylrunner

import (
	"net/http"
	"time"

	"berylspan/core/beryllifetime"
	"berylspan/core/berylregistration"
	"berylspan/core/berylserverstatus"
	"berylspan/io/berylrequest"
)

// OnServerStatus sets a function that is called when the backend server says something new
// about itself, or something malformed.
func OnServerStatus(f func(serverID string, status berylserverstatus.Status, err error)) func(*Runner) {
	return func(r *Runner) { r.onServerStatus = f }
}

// newestLifetime returns the newest lifetime of the backend server that its list entry, if
// known, or a request tells of. The caller holds the lock.
func (r *Runner) newestLifetime(entry berylregistration.Registration, known bool, req *berylrequest.Request) beryllifetime.Lifetime {
	listed := entry.Lifetime()
	if !known {
		listed = r.lifetime
	}
	if listed.ID == "" || req.ServerStartMs > listed.BornMs {
		return req.Lifetime()
	}
	return listed
}

// trackLifetime forgets what the backend server said about itself in an earlier lifetime. The
// caller holds the lock.
func (r *Runner) trackLifetime(current beryllifetime.Lifetime) {
	if r.lifetime == current {
		return
	}
	r.confirmEnds(current)
	r.lifetime, r.answered = current, false
	r.status, r.malformedLimit = berylserverstatus.Status{}, ""
	r.admission.ClearRate()
}

// adoptLimit takes over the limit that the sender of a request knows the server to have named,
// until the server has answered this daemon: it may have named it to one that ran here before.
func (r *Runner) adoptLimit(req *berylrequest.Request) {
	if !req.ServerLimited {
		return
	}
	r.mu.Lock()
	known := r.status
	if !r.answered && !known.Limited && r.lifetime == req.Lifetime() {
		r.status.Limited, r.status.Limit = true, req.ServerLimit
		r.applyStatus()
	}
	status := r.status
	r.mu.Unlock()
	if status != known {
		r.onServerStatus(req.ServerID, status, nil)
	}
}

// recordHeader evaluates what the header of an answer says about the backend server. It does
// nothing more if the request was sent to the server in an earlier lifetime.
func (r *Runner) recordHeader(f *flight, h http.Header) {
	r.mu.Lock()
	r.removeFlight(f) // It is answered; the rest of the answer may take long to be read.
	sentTo := f.lifetime
	if sentTo != r.lifetime {
		r.mu.Unlock()
		return
	}
	r.recordServerLoad(h.Get(r.names.ServerLoad))
	known := r.status
	err := r.recordStatus(h)
	status := r.status
	r.mu.Unlock()
	if err != nil || status != known {
		r.onServerStatus(sentTo.ID, status, err)
	}
}

// recordStatus evaluates what the header of an answer says about the state of the server.
// The absence of a field counts only in signed answers: others need not come from the
// server's request handling. It returns an error for a malformed limit that was not reported
// before. The caller holds the lock.
func (r *Runner) recordStatus(h http.Header) error {
	limit := h.Get(r.names.ServerLimit)
	status, err := berylserverstatus.Parse(limit, h.Get(r.names.ServerLeaving))
	signed := h.Get(r.names.ResponseSignature) != ""
	r.status = r.status.Update(status, err == nil && signed)
	r.answered = r.answered || signed
	r.applyStatus()
	if err != nil && limit == r.malformedLimit {
		return nil
	}
	if err != nil {
		r.malformedLimit = limit
	}
	return err
}

// applyStatus makes the admission control keep to what the server accepts. The caller holds
// the lock.
func (r *Runner) applyStatus() {
	if r.status.Limited {
		r.admission.SetRate(time.Now(), r.status.Limit)
	} else {
		r.admission.ClearRate()
	}
	r.startWaiting()
}

// ServerStatus returns what the backend server last said about itself.
func (r *Runner) ServerStatus() berylserverstatus.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}
