package platform

import (
	"net/http"

	"github.com/gorilla/mux"

	"persimmonbay/internal/fleet"
)

// SetRates puts rates in force. The zero value takes any number of calls.
func (s *Server) SetRates(r Rates) { s.meter.set(r) }

// Calls returns the calls that came over HTTP so far.
func (s *Server) Calls() Calls { return s.meter.calls.Get() }

func (s *Server) putRates(w http.ResponseWriter, r *http.Request) {
	var rates Rates
	if decode(w, r, &rates) {
		s.SetRates(rates)
		answer(w, rates, nil)
	}
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { answer(w, s.Calls(), nil) }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		s.SetFaults(f)
		answer(w, f, nil)
	}
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance fleet.Instance
	if !decode(w, r, &instance) {
		return
	}
	instance.ID = mux.Vars(r)["id"]
	s.Instances.Put(instance)
	answer(w, instance, nil)
}

func (s *Server) removeInstance(w http.ResponseWriter, r *http.Request) {
	s.Instances.Remove(mux.Vars(r)["id"])
	answer(w, struct{}{}, nil)
}
