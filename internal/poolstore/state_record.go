package poolstore

import "persimmonbay/internal/scheduler"

// stateRecord is the stored form of a scheduler.Progress, with the job's queue.
type stateRecord struct {
	State    scheduler.JobState `cbor:"1,keyasint"`
	Queue    string             `cbor:"2,keyasint,omitempty"`
	Done     []byte             `cbor:"3,keyasint,omitempty"`
	Failures map[int][]int      `cbor:"4,keyasint,omitempty"`
	EndedAt  int64              `cbor:"5,keyasint,omitempty"` // Unix time in milliseconds; 0: not ended
	Barred   bool               `cbor:"6,keyasint,omitempty"`
	Refused  bool               `cbor:"8,keyasint,omitempty"`
	Team     string             `cbor:"7,keyasint,omitempty"` // records of earlier versions have none
}
