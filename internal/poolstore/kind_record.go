package poolstore

import "persimmonbay/internal/scheduler"

// kindRecord is the stored form of a scheduler.KindNeed.
type kindRecord struct {
	Label        string `cbor:"1,keyasint,omitempty"`
	MilliCPU     int    `cbor:"2,keyasint,omitempty"`
	MemoryMB     int    `cbor:"3,keyasint,omitempty"`
	Accelerators int    `cbor:"4,keyasint,omitempty"`
	Count        int    `cbor:"5,keyasint"`
}

// EncodeKinds returns the value of the key of the kinds of machines that a pool needs.
func EncodeKinds(kinds []scheduler.KindNeed) ([]byte, error) {
	records := make([]kindRecord, len(kinds))
	for i, k := range kinds {
		records[i] = kindRecord{k.Label, k.Capacity.MilliCPU, k.Capacity.MemoryMB, k.Capacity.Accelerators, k.Count}
	}
	return encode(records)
}

// DecodeKinds decodes the value of the key of the kinds of machines that a pool needs. It
// returns Internal when the value cannot be decoded or a count is out of bounds.
func DecodeKinds(key string, value []byte) ([]scheduler.KindNeed, error) {
	var records []kindRecord
	if err := decode(key, value, &records); err != nil {
		return nil, err
	}
	kinds := make([]scheduler.KindNeed, len(records))
	for i, r := range records {
		if r.Count < 0 || r.Count > maxMachines {
			return nil, invalid(key, "number of machines")
		}
		kinds[i] = scheduler.KindNeed{Label: r.Label, Capacity: scheduler.Resources{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}, Count: r.Count}
	}
	return kinds, nil
}
