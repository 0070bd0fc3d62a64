package operator

import (
	"encoding/json"
	"net/http"
)

// maxIDLength is the length of the longest id that explain accepts, in bytes.
const maxIDLength = 256

// States in a health response.
const (
	stateOK          = "ok"
	stateUnavailable = "unavailable"
)

type healthValue struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

type errorValue struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}

type serversValue struct {
	Servers []BackendServer `json:"backend_servers"`
}

type explainValue struct {
	Decisions []Decision `json:"decisions"`
}

type drainValue struct {
	ID       string `json:"id"`
	Draining bool   `json:"draining"`
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	writeHealth(w, s.source.Healthy())
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	writeHealth(w, s.source.Ready())
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.source.Status())
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.source.Config())
}

func (s *Server) servers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, serversValue{Servers: orEmpty(s.source.BackendServers())})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("request_id")
	if id == "" || len(id) > maxIDLength {
		writeError(w, http.StatusBadRequest, "request_id must be 1 to 256 bytes long")
		return
	}
	writeJSON(w, http.StatusOK, explainValue{Decisions: orEmpty(s.decisions.Explain(id))})
}

// drain starts the graceful shutdown of the entry; the id parameter, if given, must match its id.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	self := s.source.Status().ID()
	if !onAdminAddress(r) {
		writeError(w, http.StatusForbidden, "an entry is drained on its admin address alone")
		return
	}
	if id := r.URL.Query().Get("id"); id != "" && id != self {
		writeError(w, http.StatusConflict, "this entry is "+self)
		return
	}
	s.log.Info("drain requested", "entry", self, "from", r.RemoteAddr)
	s.drainer.Drain()
	writeJSON(w, http.StatusAccepted, drainValue{ID: self, Draining: true})
}

func writeHealth(w http.ResponseWriter, err error) {
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, healthValue{State: stateUnavailable, Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, healthValue{State: stateOK})
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorValue{Error: errorDetail{Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, "operator: answer can't be written as JSON", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}
