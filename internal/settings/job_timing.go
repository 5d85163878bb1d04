package settings

import "time"

// Defaults of a job entry's times.
const (
	DefaultMaxHold     = 6 * time.Second
	DefaultStop        = 400 * time.Millisecond
	DefaultHolderPause = 3 * time.Second
	DefaultGrace       = 6 * time.Second
	DefaultStartEarly  = 200 * time.Millisecond
	DefaultRetention   = 2 * time.Minute
	DefaultJobLease    = 2 * time.Second
	DefaultMinLease    = time.Second
)

// JobTiming holds the bounds that the platform promises or demands.
type JobTiming struct {
	MaxHold     time.Duration `yaml:"maxHold" validate:"gte=1s"`    // longest lease of what runs on a worker
	Stop        time.Duration `yaml:"stop" validate:"gt=0"`         // longest time that a stop takes
	HolderPause time.Duration `yaml:"holderPause" validate:"gte=0"` // between orders for machines of two holders
	Grace       time.Duration `yaml:"grace" validate:"gt=0"`        // from SIGTERM to SIGKILL
	StartEarly  time.Duration `yaml:"startEarly" validate:"gte=0"`  // how long before its time a job may start
	Retention   time.Duration `yaml:"retention" validate:"gt=0"`    // how long the state of a finished job is told
	Lease       time.Duration `yaml:"lease" validate:"gte=500ms"`   // of this entry in the store
	MinLease    time.Duration `yaml:"minLease" validate:"gte=0"`    // shortest lease that the store grants
}

// DefaultJobTiming returns the times that hold where a file is silent.
func DefaultJobTiming() JobTiming {
	return JobTiming{
		MaxHold: DefaultMaxHold, Stop: DefaultStop, HolderPause: DefaultHolderPause, Grace: DefaultGrace,
		StartEarly: DefaultStartEarly, Retention: DefaultRetention, Lease: DefaultJobLease, MinLease: DefaultMinLease,
	}
}
