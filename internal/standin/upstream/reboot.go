package upstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// reboot aborts all requests, including those in progress, for the time in the
// order.
func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	var order RebootOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	until := s.clock.Now().Add(time.Duration(order.DownMillis) * time.Millisecond)
	s.downUntil.Update(func(time.Time) (time.Time, bool) { return until, true })
}

// abortWhenDown counts and aborts a request that runs into a reboot. The clock decides,
// not a timer: on a busy machine one may fire after the platform lists the instance as
// live again, and requests that are sent then would be aborted.
func (s *Server) abortWhenDown() {
	if s.clock.Now().Before(s.downUntil.Get()) {
		s.load.Update(func(l Load) (Load, bool) { l.Aborted++; return l, true })
		panic(http.ErrAbortHandler)
	}
}
