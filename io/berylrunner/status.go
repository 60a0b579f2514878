package berylrunner

import (
	"net/http"
	"time"

	"berylspan/core/berylserverstatus"
	"berylspan/io/berylrequest"
)

// OnServerStatus sets a function that is called when the backend server says something new
// about itself, or something malformed.
func OnServerStatus(f func(serverID string, status berylserverstatus.Status, err error)) func(*Runner) {
	return func(r *Runner) { r.onServerStatus = f }
}

// trackLifetime forgets what an earlier run of the backend server said about itself. The
// caller holds the lock.
func (r *Runner) trackLifetime(id string, bornMs int64) {
	current := lifetime{id, bornMs}
	if r.lifetime == current {
		return
	}
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
	if !r.answered && !known.Limited && r.lifetime == (lifetime{req.ServerID, req.ServerStartMs}) {
		r.status.Limited, r.status.Limit = true, req.ServerLimit
		r.applyStatus()
	}
	status := r.status
	r.mu.Unlock()
	if status != known {
		r.onServerStatus(req.ServerID, status, nil)
	}
}

// recordHeader evaluates what the header of an answer says about the backend server.
func (r *Runner) recordHeader(serverID string, h http.Header) {
	r.recordServerLoad(h.Get(r.names.ServerLoad))
	r.recordStatus(serverID, h)
}

// recordStatus evaluates what the header of an answer says about the state of the server.
// The absence of a field counts only in signed answers: others need not come from the
// server's request handling.
func (r *Runner) recordStatus(serverID string, h http.Header) {
	limit := h.Get(r.names.ServerLimit)
	status, err := berylserverstatus.Parse(limit, h.Get(r.names.ServerLeaving))
	signed := h.Get(r.names.ResponseSignature) != ""
	r.mu.Lock()
	known := r.status
	status = known.Update(status, err == nil && signed)
	if err != nil && limit == r.malformedLimit {
		err = nil // Reported before.
	} else if err != nil {
		r.malformedLimit = limit
	}
	r.status = status
	r.answered = r.answered || signed
	r.applyStatus()
	r.mu.Unlock()
	if err != nil || status != known {
		r.onServerStatus(serverID, status, err)
	}
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
