package settings

import (
	"os"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/yamlfile"
)

// Default values of an entry's settings.
const (
	DefaultPlatformTimeout        = 2 * time.Second
	DefaultWatchWait              = 5 * time.Second
	DefaultLeaseTTL               = 5 * time.Second
	DefaultHeartbeat              = time.Second
	DefaultSuspectAfter           = 3 * time.Second
	DefaultMaxBodyBytes           = 16 << 20
	DefaultMaxBufferedAnswerBytes = 1 << 20
	DefaultRequestTimeout         = 10 * time.Second
	DefaultInstancesInterval      = time.Second
	DefaultShutdownNotice         = 2 * time.Second
	DefaultShutdownTimeout        = 30 * time.Second
	DefaultFence                  = 30 * time.Second
	DefaultRebootGrace            = 30 * time.Second
	DefaultReturnTimeout          = 15 * time.Minute
)

// Entry holds the settings of an entry process.
type Entry struct {
	ID               string      `yaml:"id" validate:"required"`
	AvailabilityZone string      `yaml:"availabilityZone" validate:"required"`
	Listen           Listen      `yaml:"listen"`
	Advertise        Advertise   `yaml:"advertise"`
	Peers            Peers       `yaml:"peers"`
	Platform         Platform    `yaml:"platform"`
	Membership       Membership  `yaml:"membership"`
	Limits           Limits      `yaml:"limits"`
	Machine          Machine     `yaml:"machine"`
	Maintenance      Maintenance `yaml:"maintenance"`
	Secrets          Secrets     `yaml:"secrets"`
	LogLevel         string      `yaml:"logLevel" validate:"oneof=debug info warn error"`
}

// DefaultEntry returns the values of the settings that a file leaves out. ID,
// zone, platform address and secrets have no default.
func DefaultEntry() Entry {
	return Entry{
		Listen:     Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Platform:   Platform{Timeout: DefaultPlatformTimeout, WatchWait: DefaultWatchWait},
		Membership: Membership{LeaseTTL: DefaultLeaseTTL, Heartbeat: DefaultHeartbeat, SuspectAfter: DefaultSuspectAfter},
		Limits: Limits{
			MaxBodyBytes: DefaultMaxBodyBytes, MaxBufferedAnswerBytes: DefaultMaxBufferedAnswerBytes,
			RequestTimeout: DefaultRequestTimeout, InstancesInterval: DefaultInstancesInterval,
			ShutdownNotice: DefaultShutdownNotice, ShutdownTimeout: DefaultShutdownTimeout,
		},
		Maintenance: Maintenance{Fence: DefaultFence, RebootGrace: DefaultRebootGrace, ReturnTimeout: DefaultReturnTimeout},
		LogLevel:    "info",
	}
}

// LoadEntry reads and parses file. The error is a problem.NotFound when the file
// cannot be read, and of type problem.Findings when its content is invalid.
func LoadEntry(file string) (Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, problem.Wrap(problem.NotFound, problem.StepSettings, "", err)
	}
	return ParseEntry(file, data)
}

// ParseEntry parses data, the content of the file called name. An error is of
// type problem.Findings.
func ParseEntry(name string, data []byte) (Entry, error) {
	entry := DefaultEntry()
	if _, err := yamlfile.Decode(name, data, &entry); err != nil {
		return Entry{}, err
	}
	return entry, nil
}
