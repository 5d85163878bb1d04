package configstore

import (
	"time"

	"persimmonbay/internal/configuration"
)

// record is the stored form of one accepted configuration.
type record struct {
	Operator string                `json:"operator"`
	Applied  time.Time             `json:"applied"`
	Base     configuration.Version `json:"base"`     // version that it replaced
	Sequence uint64                `json:"sequence"` // one more than that of its base; determines its history slot
	Nonce    string                `json:"nonce"`    // identifies one call of Apply
	Source   document              `json:"source"`   // YAML document
}
