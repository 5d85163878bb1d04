package configstore_test

// fault is the fault that affects one write of the current configuration.
type fault int

const (
	healthy  fault = iota
	lost           // takes effect; the response is lost
	delayed        // the call fails; the write reaches the store later, when applyDelayed is called
	dropped        // never reaches the store; the caller gets the same error as for lost
	refused        // the store is unavailable; nothing is sent
	overtake       // takes effect and is replaced by another operator's; the response is lost
)
