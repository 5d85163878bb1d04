package operator

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonbay/internal/problem"
)

// stateInDoubt is the only value of the "state" parameter.
const stateInDoubt = "in-doubt"

// ledgerRoutes adds the routes for requests with an Idempotency-Key.
func (s *Server) ledgerRoutes(r *mux.Router) {
	r.HandleFunc("/v1/requests", s.requests).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{key}", s.request).Methods(http.MethodGet)
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	entry, err := s.backend.LedgerEntry(r.Context(), mux.Vars(r)["key"])
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, entry)
}

func (s *Server) requests(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("state") != stateInDoubt {
		s.writeError(w, problem.New(problem.Invalid, problem.StepParse, "", "state: expected "+stateInDoubt))
		return
	}
	entries, err := s.backend.LedgerInDoubt(r.Context())
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, entries)
}
