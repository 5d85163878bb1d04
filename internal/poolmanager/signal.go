package poolmanager

// signal wakes one waiting goroutine; several signals in a row count as one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// send wakes the waiting goroutine, or the next one that waits.
func (s signal) send() {
	select {
	case s <- struct{}{}:
	default:
	}
}
