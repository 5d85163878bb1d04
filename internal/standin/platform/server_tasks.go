package platform

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/standin/worker"
)

// dialWorker returns a client of the worker at the instance's address.
func dialWorker(instance fleet.Instance) worker.API {
	return &worker.Client{Address: instance.Address}
}

// taskRoutes adds the routes of the workers' tasks.
func (s *Server) taskRoutes(v1 *mux.Router) {
	v1.HandleFunc("/workers/{id}/tasks/{task}", s.runTask).Methods(http.MethodPut)
	v1.HandleFunc("/workers/{id}/tasks/{task}", s.showTask).Methods(http.MethodGet)
	v1.HandleFunc("/workers/{id}/tasks/{task}", s.withdrawTask).Methods(http.MethodDelete)
	v1.HandleFunc("/workers/{id}/tasks/{task}/stop", s.withdrawTask).Methods(http.MethodPost)
	v1.HandleFunc("/workers/{id}/tasks/{task}/checkpoint", s.checkpointTask).Methods(http.MethodPost)
	v1.HandleFunc("/workers/{id}/tasks/{task}/throttle", s.throttleTask).Methods(http.MethodPost)
}

func (s *Server) runTask(w http.ResponseWriter, r *http.Request) {
	var request api.TaskRequest
	if decode(w, r, &request) {
		task, err := s.Tasks.RunTask(r.Context(), mux.Vars(r)["id"], mux.Vars(r)["task"], request)
		respond(w, task, err)
	}
}

func (s *Server) showTask(w http.ResponseWriter, r *http.Request) {
	task, err := s.Tasks.Task(r.Context(), mux.Vars(r)["id"], mux.Vars(r)["task"])
	respond(w, task, err)
}

func (s *Server) withdrawTask(w http.ResponseWriter, r *http.Request) {
	task, err := s.Tasks.WithdrawTask(r.Context(), mux.Vars(r)["id"], mux.Vars(r)["task"])
	respond(w, task, err)
}

func (s *Server) checkpointTask(w http.ResponseWriter, r *http.Request) {
	task, err := s.Tasks.CheckpointTask(r.Context(), mux.Vars(r)["id"], mux.Vars(r)["task"])
	respond(w, task, err)
}

func (s *Server) throttleTask(w http.ResponseWriter, r *http.Request) {
	var in api.ThrottleRequest
	if decode(w, r, &in) {
		task, err := s.Tasks.ThrottleTask(r.Context(), mux.Vars(r)["id"], mux.Vars(r)["task"], in.Percent)
		respond(w, task, err)
	}
}
