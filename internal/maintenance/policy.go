package maintenance

import "time"

// Policy holds the limits that apply to plans.
type Policy struct {
	RebootGrace   time.Duration // after which a reboot that the list has not shown counts as done if it was accepted, and is requested again if not; longer than the list's delay
	ReturnTimeout time.Duration // after which a rebooted instance counts as lost
	DeleteAfter   time.Duration // after which the record of an instance that is absent from the list is deleted
	FailureShare  float64       // of all instances; a wave waits while at least this share is missing for no planned reason
	FailureFloor  int           // a wave never waits for fewer missing instances than this
	LendAfter     time.Duration // during a wave, after which a missing instance is replaced by a loan
	LostFor       time.Duration // after which a lost entry is removed from the roster; longer than any network partition
	KnownFor      time.Duration // after which every entry knows a new one or has stopped sending work: the fence and a lease's time to live
	StartWindow   time.Duration // in which a wave reserves at most StartLimit instances
	StartLimit    int           // spreads the calls to the platform over time; 0: no limit
}

// DefaultPolicy returns the limits that entries use. They fit the size of the
// present fleet: five services of eight to twelve instances each, and three
// spares.
func DefaultPolicy() Policy {
	return Policy{
		RebootGrace:   30 * time.Second,
		ReturnTimeout: 15 * time.Minute,
		DeleteAfter:   time.Hour,
		LendAfter:     2 * time.Minute,
		LostFor:       2 * time.Hour,
		KnownFor:      35 * time.Second,
		FailureShare:  0.1,
		FailureFloor:  3,
		StartWindow:   10 * time.Second,
		StartLimit:    4,
	}
}

// failureLimit returns the number of instances missing for no planned reason at
// which waves wait.
func (p Policy) failureLimit(instances int) int {
	return max(p.FailureFloor, int(p.FailureShare*float64(instances)))
}
