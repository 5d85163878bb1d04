package slots

import "time"

// Balance is what a handover states about one holder.
type Balance struct {
	Holder    Holder
	Held      int
	AbsentFor time.Duration // how long the holder has been absent; zero while it is present
}
