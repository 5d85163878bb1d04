package operator

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonbay/internal/problem"
)

// stateInDoubt is the one state that requests can be listed by.
const stateInDoubt = "in-doubt"

func (s *Server) routeLedger(r *mux.Router) {
	r.HandleFunc("/v1/requests", s.requests).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{key}", s.request).Methods(http.MethodGet)
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	entry, err := s.backend.LedgerEntry(r.Context(), mux.Vars(r)["key"])
	if err != nil {
		s.fail(w, err)
		return
	}
	respond(w, entry)
}

func (s *Server) requests(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("state") != stateInDoubt {
		s.fail(w, problem.New(problem.Invalid, problem.StepParse, "", "state: expected "+stateInDoubt))
		return
	}
	entries, err := s.backend.LedgerInDoubt(r.Context())
	if err != nil {
		s.fail(w, err)
		return
	}
	respond(w, entries)
}
