package berylsidecar

import (
	"encoding/json"
	"net/http"
	"strings"
)

const explainPath = "/explain"

// serveExplain tells where a request would be sent now. Its parameter to holds host and path.
func (s *Sidecar) serveExplain(w http.ResponseWriter, r *http.Request) {
	host, path, _ := strings.Cut(r.URL.Query().Get("to"), "/")
	if host == "" {
		http.Error(w, "to must be HOST/PATH", http.StatusBadRequest)
		return
	}
	data, err := json.MarshalIndent(s.proxy.Explain(host, "/"+path, r.URL.Query().Get("workspace")), "", "  ")
	if err != nil {
		s.log.Error().Err(err).Msg("explanation not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n')) // The operator asks again.
}
