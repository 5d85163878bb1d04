package poolstore

import (
	"math"
	"time"

	"persimmonbay/internal/scheduler"
)

// stepRecord is the stored form of a scheduler.Step. Times are in milliseconds.
type stepRecord struct {
	Count         int    `cbor:"1,keyasint"`
	MilliCPU      int    `cbor:"2,keyasint,omitempty"`
	MemoryMB      int    `cbor:"3,keyasint,omitempty"`
	Accelerators  int    `cbor:"4,keyasint,omitempty"`
	Estimate      int64  `cbor:"5,keyasint,omitempty"`
	After         []int  `cbor:"6,keyasint,omitempty"`
	Gang          bool   `cbor:"7,keyasint,omitempty"`
	SameRack      bool   `cbor:"8,keyasint,omitempty"`
	Label         string `cbor:"9,keyasint,omitempty"`
	DataRack      string `cbor:"10,keyasint,omitempty"`
	MaxPerWorker  int    `cbor:"11,keyasint,omitempty"`
	Checkpointing bool   `cbor:"12,keyasint,omitempty"`
	Speculative   bool   `cbor:"13,keyasint,omitempty"`
	LongRunning   bool   `cbor:"14,keyasint,omitempty"`
	Image         string `cbor:"15,keyasint,omitempty"`
	Target        int64  `cbor:"16,keyasint,omitempty"`
	Fills         bool   `cbor:"17,keyasint,omitempty"`
	MayMiss       int    `cbor:"18,keyasint,omitempty"`
}

func newStepRecord(s *scheduler.Step) stepRecord {
	return stepRecord{
		Count: s.Count, MilliCPU: s.Need.MilliCPU, MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators,
		Estimate: s.Estimate.Milliseconds(), After: s.After, Gang: s.Gang, SameRack: s.SameRack, Label: s.Label,
		DataRack: s.DataRack, MaxPerWorker: s.MaxPerWorker, Checkpointing: s.Checkpointing, Speculative: s.Speculative,
		LongRunning: s.LongRunning, Image: s.Image, Target: s.Target.Milliseconds(), Fills: s.BestEffort, MayMiss: s.MaxUnavailable,
	}
}

func (r *stepRecord) step() scheduler.Step {
	return scheduler.Step{
		Count: r.Count, Need: scheduler.Resources{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators},
		Estimate: millis(r.Estimate), After: r.After, Gang: r.Gang, SameRack: r.SameRack, Label: r.Label,
		DataRack: r.DataRack, MaxPerWorker: r.MaxPerWorker, Checkpointing: r.Checkpointing, Speculative: r.Speculative,
		LongRunning: r.LongRunning, Image: r.Image, Target: millis(r.Target), BestEffort: r.Fills, MaxUnavailable: r.MayMiss,
	}
}

// millis returns n milliseconds, limited to the range of time.Duration.
func millis(n int64) time.Duration {
	const most = int64(math.MaxInt64 / time.Millisecond)
	return time.Duration(min(max(n, -most), most)) * time.Millisecond
}
