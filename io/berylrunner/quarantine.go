package berylrunner

import (
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
)

// OnAnswered sets a function that is called when the backend server has answered a request.
func OnAnswered(f func(req *berylrequest.Request)) func(*Runner) {
	return func(r *Runner) { r.onAnswered = f }
}

// CheckSuspect sets the function that reports whether a request may run as a trial only, because
// backend servers ended while they ran it, and how long it is until the next trial.
func CheckSuspect(f func(req *berylrequest.Request) (suspect bool, wait time.Duration)) func(*Runner) {
	return func(r *Runner) { r.checkSuspect = f }
}

// checkQuarantine refuses a suspect, unless it comes as a trial, a trial is possible now, and no
// other one runs. The sender of a trial may know more than an instance that has just started.
func (r *Runner) checkQuarantine(f *flight) *berylreply.Reply {
	suspect, wait := r.checkSuspect(f.req)
	if !suspect && !f.req.Trial {
		return nil
	}
	reply := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQuarantined)
	reply.RetryAfter = wait
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case wait > 0 || !f.req.Trial:
		return reply
	case r.trial != nil:
		reply.RetryAfter = r.admission.MeanServiceTime(r.trial.req.Rule)
		return reply
	}
	f.trial, r.trial = true, f
	return nil
}
