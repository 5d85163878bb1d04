package upkeep

import "time"

// Wave asks that each of its machines has its upkeep within a time, with a
// bounded number down at once.
type Wave struct {
	Number   int64
	Machines []string
	Within   time.Duration
	MaxDown  int // machines down at once
}

// turnTime is what one turn of machines that are down together takes in a wave:
// an upkeep of some two seconds, as long to empty them, and until it is seen.
const turnTime = 5 * time.Second

// CanWait reports whether at now, a time of day, the wave would still be over in
// time if its next turn began a turn's time later.
func (w *Wave) CanWait(p *Progress, now time.Time) bool {
	turns := 1 + (len(w.Machines)-len(p.Done))/max(w.MaxDown, 1)
	return now.Add(time.Duration(turns+1) * turnTime).Before(p.Since.Add(w.Within))
}
