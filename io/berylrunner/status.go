package berylrunner

import (
	"net/http"

	"berylspan/core/berylregistration"
	"berylspan/core/berylserverstatus"
)

// OnServerStatus sets a function that is called when the backend server says something new
// about itself, or something malformed.
func OnServerStatus(f func(serverID string, status berylserverstatus.Status, err error)) func(*Runner) {
	return func(r *Runner) { r.onServerStatus = f }
}

// trackLifetime forgets what an earlier run of the backend server said about itself.
func (r *Runner) trackLifetime(entry berylregistration.Registration) {
	if entry.ID == r.lifetime.ID && entry.Born == r.lifetime.Born {
		return
	}
	r.lifetime = entry
	r.status, r.malformedLimit = berylserverstatus.Status{}, ""
}

// recordStatus evaluates what the header of an answer says about the backend server. The
// absence of a field counts only in signed answers: others need not come from the server's
// request handling.
func (r *Runner) recordStatus(serverID string, h http.Header) {
	limit := h.Get(r.names.ServerLimit)
	status, err := berylserverstatus.Parse(limit, h.Get(r.names.ServerLeaving))
	signed := h.Get(r.names.ResponseSignature) != ""
	r.mu.Lock()
	known := r.status
	if err != nil || (!signed && !status.Limited) {
		status.Limited, status.Limit = known.Limited, known.Limit
	}
	status.Leaving = status.Leaving || known.Leaving
	if err != nil && limit == r.malformedLimit {
		err = nil // Reported before.
	} else if err != nil {
		r.malformedLimit = limit
	}
	r.status = status
	r.mu.Unlock()
	if err != nil || status != known {
		r.onServerStatus(serverID, status, err)
	}
}

// ServerStatus returns what the backend server last said about itself.
func (r *Runner) ServerStatus() berylserverstatus.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}
