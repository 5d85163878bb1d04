package upkeep

import "time"

// Wave requires that each of its machines has its upkeep within a period, with a
// limited number of them down at once.
type Wave struct {
	Number   int64
	Machines []string
	Within   time.Duration // from Progress.Since
	MaxDown  int           // machines down at once
}

// turnTime is the time that one turn takes, in which MaxDown machines are down
// together: about two seconds of upkeep, as long to empty the machines, and the
// delay until both are observed.
const turnTime = 5 * time.Second

// CanWait reports whether the wave would still end in time if its next turn
// started one turnTime after now, a time of day.
func (w *Wave) CanWait(p *Progress, now time.Time) bool {
	turns := 1 + (len(w.Machines)-len(p.Done))/max(w.MaxDown, 1)
	return now.Add(time.Duration(turns+1) * turnTime).Before(p.Since.Add(w.Within))
}
