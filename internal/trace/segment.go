package trace

import "time"

// Segment is a period in which a stream's requests arrive at a constant rate.
type Segment struct {
	From time.Duration `yaml:"from" validate:"gte=0"`
	To   time.Duration `yaml:"to" validate:"gtfield=From"`
	Rate float64       `yaml:"rate" validate:"gt=0,lte=1000000"` // requests a second, over all entries
}

// Contains reports whether at is in the segment, which excludes To.
func (s Segment) Contains(at time.Duration) bool { return s.From <= at && at < s.To }
