package settings

import "time"

// Platform holds the address and the timeouts of the platform's service.
type Platform struct {
	Address   string        `yaml:"address" validate:"required,http_url"`
	Timeout   time.Duration `yaml:"timeout" validate:"gt=0"`   // of a call other than a watch
	WatchWait time.Duration `yaml:"watchWait" validate:"gt=0"` // how long one watch call waits for a change
}
