package slots

import "time"

// Balance is one holder's line in a handover.
type Balance struct {
	Holder    Holder
	Held      int
	AbsentFor time.Duration // since the holder went; zero while it lives
}
