package settings

// Advertise holds the addresses that an entry announces to other entries and to
// operators. An empty address means that the address listened on is announced.
type Advertise struct {
	Operators string `yaml:"operators" validate:"omitempty,hostname_port"`
	Peers     string `yaml:"peers" validate:"omitempty,hostname_port"`
}
