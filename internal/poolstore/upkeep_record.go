package poolstore

import (
	"strconv"
	"time"

	"persimmonbay/internal/upkeep"
)

// upkeepRecord is the stored form of an upkeep.Progress.
type upkeepRecord struct {
	Ordered   map[string]string    `cbor:"1,keyasint,omitempty"`
	OrderedAt map[string]time.Time `cbor:"5,keyasint,omitempty"`
	Confirmed map[string]bool      `cbor:"2,keyasint,omitempty"`
	Done      map[string]bool      `cbor:"3,keyasint,omitempty"`
	Since     time.Time            `cbor:"4,keyasint,omitempty"`
}

// UpkeepKey returns the key of a wave's progress.
func UpkeepKey(wave int64) string { return "upkeep/" + strconv.FormatInt(wave, 10) }

// EncodeUpkeep returns the value of the key of a wave's progress.
func EncodeUpkeep(p *upkeep.Progress) ([]byte, error) {
	return encode(upkeepRecord(*p))
}

// DecodeUpkeep decodes the value of the key of a wave's progress. It returns Internal
// when the value cannot be decoded or has a null map.
func DecodeUpkeep(key string, value []byte) (upkeep.Progress, error) {
	r := upkeepRecord(upkeep.NewProgress())
	if err := decode(key, value, &r); err != nil {
		return upkeep.Progress{}, err
	}
	if r.Ordered == nil || r.OrderedAt == nil || r.Confirmed == nil || r.Done == nil {
		return upkeep.Progress{}, invalid(key, "machines")
	}
	return upkeep.Progress(r), nil
}
