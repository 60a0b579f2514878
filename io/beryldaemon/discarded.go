package beryldaemon

import (
	"net/http"

	"berylspan/core/berylrefusal"
	"berylspan/io/berylheader"
)

// Kinds of responses that were discarded.
const (
	discardedOther = "other request"
	discardedNoID  = "no id"
)

// discarded counts and logs a response of the backend server that does not answer the call under way.
func (d *Daemon) discarded(id string, res *http.Response) {
	answered := res.Header.Get(berylheader.Call)
	kind := discardedOther
	if answered == "" {
		kind = discardedNoID
	}
	rejection := res.Header.Get(berylheader.Run) == berylrefusal.NotRun
	d.metrics.CountDiscarded(kind, rejection)
	d.log.Warn().Str("id", id).Str("answered", answered).Int("status", res.StatusCode).Bool("rejection", rejection).Msg("response discarded")
}
