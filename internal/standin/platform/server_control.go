package platform

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonbay/internal/fleet"
)

// SetRates replaces the allowed rates. The zero value removes all limits.
func (s *Server) SetRates(r Rates) { s.meter.set(r) }

// Calls returns the counts of the HTTP calls received so far.
func (s *Server) Calls() Calls { return s.meter.calls.Get() }

func (s *Server) putRates(w http.ResponseWriter, r *http.Request) {
	var rates Rates
	if decode(w, r, &rates) {
		s.SetRates(rates)
		respond(w, rates, nil)
	}
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { respond(w, s.Calls(), nil) }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		s.SetFaults(f)
		respond(w, f, nil)
	}
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance fleet.Instance
	if !decode(w, r, &instance) {
		return
	}
	instance.ID = mux.Vars(r)["id"]
	s.Instances.Put(instance)
	respond(w, instance, nil)
}

func (s *Server) removeInstance(w http.ResponseWriter, r *http.Request) {
	s.Instances.Remove(mux.Vars(r)["id"])
	respond(w, struct{}{}, nil)
}
