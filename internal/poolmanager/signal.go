package poolmanager

// signal wakes one waiting goroutine. Signals that are sent before it is received
// count as one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// send wakes the waiting goroutine, or else the next one to wait. It never blocks.
func (s signal) send() {
	select {
	case s <- struct{}{}:
	default:
	}
}
