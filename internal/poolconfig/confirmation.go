package poolconfig

import "time"

// Confirmation is the last time at which no newer configuration was stored than those that
// this process has read. The zero value means that there was none yet.
type Confirmation struct {
	At    time.Duration // since boot, suspensions included: when the read that shows it was sent
	Known bool
}

// Age returns how old the confirmation is at now, a time since boot, and false if there was
// none.
func (c Confirmation) Age(now time.Duration) (time.Duration, bool) { return now - c.At, c.Known }
