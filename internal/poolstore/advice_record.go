package poolstore

import "persimmonbay/internal/scheduler"

// adviceRecord is the stored form of a scheduler.AdvicePolicy. Times are in
// milliseconds.
type adviceRecord struct {
	Decide    int64 `cbor:"1,keyasint,omitempty"`
	PerWorker int64 `cbor:"2,keyasint,omitempty"`
	Valid     int64 `cbor:"3,keyasint,omitempty"`
}

func newAdviceRecord(a *scheduler.AdvicePolicy) *adviceRecord {
	if a == nil {
		return nil
	}
	return &adviceRecord{a.DecideTime.Milliseconds(), a.PerWorker.Milliseconds(), a.TicketValidity.Milliseconds()}
}

func (r *adviceRecord) policy() *scheduler.AdvicePolicy {
	if r == nil {
		return nil
	}
	return &scheduler.AdvicePolicy{DecideTime: millis(r.Decide), PerWorker: millis(r.PerWorker), TicketValidity: millis(r.Valid)}
}
