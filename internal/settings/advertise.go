package settings

// Advertise holds the addresses that other entries and operators are told,
// where they differ from those listened on; empty means the same.
type Advertise struct {
	Operators string `yaml:"operators" validate:"omitempty,hostname_port"`
	Peers     string `yaml:"peers" validate:"omitempty,hostname_port"`
}
