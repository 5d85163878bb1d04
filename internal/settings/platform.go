package settings

import "time"

// Platform tells how to reach the platform's service.
type Platform struct {
	Address   string        `yaml:"address" validate:"required,http_url"`
	Timeout   time.Duration `yaml:"timeout" validate:"gt=0"`   // of one call that does not wait
	WatchWait time.Duration `yaml:"watchWait" validate:"gt=0"` // how long one watch call waits
}
