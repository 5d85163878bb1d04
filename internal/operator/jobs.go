package operator

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonbay/internal/operator/message"
)

// jobRoutes adds the routes for jobs.
func (s *Server) jobRoutes(r *mux.Router) {
	r.HandleFunc("/v1/jobs", s.jobs).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs", s.submitJobs).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/cancel", s.cancelJobs).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{id}", s.job).Methods(http.MethodGet)
}

func (s *Server) jobs(w http.ResponseWriter, r *http.Request) {
	jobs, err := s.backend.Jobs(r.Context())
	s.writeResult(w, jobs, err)
}

func (s *Server) job(w http.ResponseWriter, r *http.Request) {
	job, err := s.backend.Job(r.Context(), mux.Vars(r)["id"])
	s.writeResult(w, job, err)
}

func (s *Server) submitJobs(w http.ResponseWriter, r *http.Request) {
	var in message.SubmitRequest
	if s.decode(w, r, &in) {
		jobs, err := s.backend.SubmitJobs(r.Context(), in)
		s.writeResult(w, jobs, err)
	}
}

func (s *Server) cancelJobs(w http.ResponseWriter, r *http.Request) {
	var in message.CancelRequest
	if s.decode(w, r, &in) {
		jobs, err := s.backend.CancelJobs(r.Context(), in)
		s.writeResult(w, jobs, err)
	}
}

func (s *Server) writeResult(w http.ResponseWriter, body any, err error) {
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, body)
}
