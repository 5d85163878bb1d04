package upkeep

import "time"

// Progress is the stored state of a wave.
type Progress struct {
	Ordered   map[string]string    // by machine: the worker on it when its upkeep was ordered
	OrderedAt map[string]time.Time // by machine: time of day at which its upkeep was ordered
	Confirmed map[string]bool      // machines whose upkeep the platform has confirmed
	Done      map[string]bool      // machines that are back, or no longer listed
	Since     time.Time            // time of day at which the wave was first seen
}

// NewProgress returns the progress of a wave before its first step.
func NewProgress() Progress {
	return Progress{Ordered: map[string]string{}, OrderedAt: map[string]time.Time{}, Confirmed: map[string]bool{}, Done: map[string]bool{}}
}

// down counts the machines whose upkeep was ordered and that are not back.
func (p *Progress) down() int {
	n := 0
	for m := range p.Ordered {
		if !p.Done[m] {
			n++
		}
	}
	return n
}
