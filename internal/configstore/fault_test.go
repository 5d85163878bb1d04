package configstore_test

// fault is what happens to one write of the current configuration.
type fault int

const (
	healthy  fault = iota
	lost           // takes effect; its answer is lost
	delayed        // its caller gives up; it reaches the store later, if ever
	dropped        // never reaches the store; its caller cannot tell
	refused        // the store is out of reach; nothing leaves
	overtake       // takes effect, is replaced by another, and its answer is lost
)
