package settings

// Listen holds the addresses that an entry listens on. Port 0 selects a free
// port.
type Listen struct {
	Callers   string `yaml:"callers" validate:"required,hostname_port|startswith=127.0.0.1:0"`
	Operators string `yaml:"operators" validate:"required,hostname_port|startswith=127.0.0.1:0"`
	Peers     string `yaml:"peers" validate:"required,hostname_port|startswith=127.0.0.1:0"`
}
