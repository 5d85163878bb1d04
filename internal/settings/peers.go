package settings

// Peers holds the addresses by which an entry finds others when the platform's
// store is down.
type Peers struct {
	// Seeds are peer addresses of some other entries. The entry requests the
	// members from them only while it reaches neither the store nor a peer.
	// The list may be empty.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
}
