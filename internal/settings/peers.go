package settings

// Peers tells how to find other entries when the platform's store is down.
type Peers struct {
	// Seeds are peer addresses of some other entries. They are asked only
	// while neither the store nor a peer can be reached; none is needed.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
}
