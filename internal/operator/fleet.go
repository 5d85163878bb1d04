package operator

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/operator/message"
)

// fleetRoutes adds the routes for instances, pools, services, teams, moves,
// drains and maintenance waves.
func (s *Server) fleetRoutes(r *mux.Router) {
	r.HandleFunc("/v1/instances", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.backend.Instances()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/pools", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.backend.Pools()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/services", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.backend.Services()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/teams", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.backend.Teams()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances/{id}/move", s.changeInstance(s.backend.Move)).Methods(http.MethodPost)
	r.HandleFunc("/v1/instances/{id}/drain", s.changeInstance(s.backend.Drain)).Methods(http.MethodPost)
	r.HandleFunc("/v1/instances/{id}/undrain", s.changeInstance(s.backend.Undrain)).Methods(http.MethodPost)
	r.HandleFunc("/v1/wave", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.backend.Wave()) }).Methods(http.MethodGet)
	r.HandleFunc("/v1/wave", s.startWave).Methods(http.MethodPost)
	r.HandleFunc("/v1/wave/pause", s.setWaveState(maintenance.WavePaused)).Methods(http.MethodPost)
	r.HandleFunc("/v1/wave/resume", s.setWaveState(maintenance.WaveRunning)).Methods(http.MethodPost)
	r.HandleFunc("/v1/wave/cancel", s.setWaveState(maintenance.WaveCancelled)).Methods(http.MethodPost)
}

func (s *Server) changeInstance(change func(context.Context, string, message.InstanceRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in message.InstanceRequest
		if !s.decode(w, r, &in) {
			return
		}
		if err := change(r.Context(), mux.Vars(r)["id"], in); err != nil {
			s.writeError(w, err)
			return
		}
		writeJSON(w, in)
	}
}

func (s *Server) startWave(w http.ResponseWriter, r *http.Request) {
	var in message.WaveRequest
	if !s.decode(w, r, &in) {
		return
	}
	wave, err := s.backend.StartWave(r.Context(), in)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, wave)
}

func (s *Server) setWaveState(state maintenance.WaveState) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		wave, err := s.backend.SetWaveState(r.Context(), state)
		if err != nil {
			s.writeError(w, err)
			return
		}
		writeJSON(w, wave)
	}
}
