package settings

import "time"

// Maintenance holds the timing of pools and waves.
type Maintenance struct {
	Fence         time.Duration `yaml:"fence" validate:"gte=1s"`       // after which an entry cut off from the store sends no more work by its records
	RebootGrace   time.Duration `yaml:"rebootGrace" validate:"gt=0"`   // after which a reboot that the list never showed is looked into; longer than the list's lag
	ReturnTimeout time.Duration `yaml:"returnTimeout" validate:"gt=0"` // after which a rebooted instance counts as lost
}
