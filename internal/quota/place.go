package quota

// place is one team's part of one worker.
type place struct{ team, worker string }
