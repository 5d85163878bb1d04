package platform

import (
	"net/http"

	"github.com/gorilla/mux"
)

func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.Reboots.Reboot(r.Context(), mux.Vars(r)["id"]))
}

func (s *Server) reboots(w http.ResponseWriter, _ *http.Request) { respond(w, s.Reboots.Counts(), nil) }
