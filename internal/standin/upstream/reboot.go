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
	s.setDown(true)
	s.clock.AfterFunc(time.Duration(order.DownMillis)*time.Millisecond, func() { s.setDown(false) })
}

func (s *Server) setDown(down bool) {
	s.down.Update(func(bool) (bool, bool) { return down, true })
}

// abortWhenDown counts and aborts a request that runs into a reboot.
func (s *Server) abortWhenDown() {
	if s.down.Get() {
		s.load.Update(func(l Load) (Load, bool) { l.Aborted++; return l, true })
		panic(http.ErrAbortHandler)
	}
}
