package worker

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"persimmonbay/internal/platform/api"
)

// Server serves a stand-in worker over HTTP.
type Server struct {
	runner *Runner
}

// NewServer returns a server of runner.
func NewServer(runner *Runner) *Server { return &Server{runner: runner} }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/tasks/{task}", s.run).Methods(http.MethodPut)
	r.HandleFunc("/tasks/{task}", s.show).Methods(http.MethodGet)
	r.HandleFunc("/tasks/{task}", s.withdraw).Methods(http.MethodDelete)
	r.HandleFunc("/tasks/{task}/checkpoint", s.checkpoint).Methods(http.MethodPost)
	r.HandleFunc("/tasks/{task}/throttle", s.throttle).Methods(http.MethodPost)
	r.HandleFunc("/standin/faults", s.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/standin/load", s.load).Methods(http.MethodGet)
	return r
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var order Order
	if decode(w, r, &order) {
		report, err := s.runner.Run(r.Context(), mux.Vars(r)["task"], order)
		respond(w, report, err)
	}
}

func (s *Server) show(w http.ResponseWriter, r *http.Request) {
	report, err := s.runner.Show(r.Context(), mux.Vars(r)["task"])
	respond(w, report, err)
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	report, err := s.runner.Withdraw(r.Context(), mux.Vars(r)["task"])
	respond(w, report, err)
}

func (s *Server) checkpoint(w http.ResponseWriter, r *http.Request) {
	report, err := s.runner.Checkpoint(r.Context(), mux.Vars(r)["task"])
	respond(w, report, err)
}

func (s *Server) throttle(w http.ResponseWriter, r *http.Request) {
	var in api.ThrottleRequest
	if decode(w, r, &in) {
		report, err := s.runner.Throttle(r.Context(), mux.Vars(r)["task"], in.Percent)
		respond(w, report, err)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		s.runner.SetFaults(f)
		respond(w, f, nil)
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) { respond(w, s.runner.Load(), nil) }

// decode reads the JSON body into target. On an error it responds with 400 and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(r.Body).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// respond writes body, or err with status 503.
func respond(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a failed write breaks the connection
}
