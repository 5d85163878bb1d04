package poolmanager

// sharedRead is a read for which several callers wait.
type sharedRead struct {
	done chan struct{} // closed at its end
	err  error         // valid after done is closed
}
