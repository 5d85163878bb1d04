package settings

// JobPlatform holds the addresses of the platform's services.
type JobPlatform struct {
	Store    string `yaml:"store" validate:"required,hostname_port"`
	Machines string `yaml:"machines" validate:"omitempty,hostname_port"` // empty: machines are neither moved nor maintained
	Advice   string `yaml:"advice" validate:"omitempty,hostname_port"`   // empty: no queue needs advice
	Codec    string `yaml:"codec" validate:"oneof=json cbor"`            // encoding of request and response bodies
}
