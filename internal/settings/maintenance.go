package settings

import "time"

// Maintenance holds the time limits of pool membership and maintenance waves.
type Maintenance struct {
	Fence         time.Duration `yaml:"fence" validate:"gte=1s"`       // after which an entry without access to the store sends no more work by its records, unless most entries lost access too
	RebootGrace   time.Duration `yaml:"rebootGrace" validate:"gt=0"`   // after which a reboot that the list has not shown counts as done if it was accepted, and is requested again if not; longer than the list's delay
	ReturnTimeout time.Duration `yaml:"returnTimeout" validate:"gt=0"` // after which a rebooted instance counts as lost
}
