package platform

import (
	"net/http"

	"github.com/gorilla/mux"
)

func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	answer(w, struct{}{}, s.Reboots.Reboot(r.Context(), mux.Vars(r)["id"]))
}

func (s *Server) reboots(w http.ResponseWriter, _ *http.Request) { answer(w, s.Reboots.Counts(), nil) }
