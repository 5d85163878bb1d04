package platform

import "net/http"

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
