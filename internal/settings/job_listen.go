package settings

// JobListen holds the addresses that a job entry listens on.
type JobListen struct {
	Callers   string `yaml:"callers" validate:"required,hostname_port"`
	Peers     string `yaml:"peers" validate:"required,hostname_port"`
	Readiness string `yaml:"readiness" validate:"required,hostname_port"`
}
