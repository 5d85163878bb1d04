package configstore

import (
	"time"

	"persimmonbay/internal/configuration"
)

// record is the stored form of one accepted configuration.
type record struct {
	Operator string                `json:"operator"`
	Applied  time.Time             `json:"applied"`
	Base     configuration.Version `json:"base"`     // the version it replaced
	Sequence uint64                `json:"sequence"` // one more than that of its base; picks its history slot
	Nonce    string                `json:"nonce"`    // tells one apply from another
	Source   document              `json:"source"`   // YAML
}
