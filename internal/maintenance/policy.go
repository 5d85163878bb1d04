package maintenance

import "time"

// Policy holds the limits that plans keep to.
type Policy struct {
	RebootGrace   time.Duration // after which a reboot not seen on the list is asked for again; longer than the list's lag
	ReturnTimeout time.Duration // after which a rebooted instance counts as lost
	ForgetAfter   time.Duration // after which an instance gone from the list is forgotten
	FailureShare  float64       // of all instances; a wave waits while more are missing without a plan
	FailureFloor  int           // a wave never waits for fewer missing instances than this
	LendAfter     time.Duration // after which a missing instance is stood in for during a wave
	LostFor       time.Duration // after which a lost entry is dropped from the roster; longer than any cut
	KnownFor      time.Duration // after which every entry knows a new one or has stopped by itself: the fence and a lease's time to live
	StartWindow   time.Duration // in which a wave takes at most StartLimit instances
	StartLimit    int           // so that the calls to the platform spread over time; 0: no limit
}

// DefaultPolicy returns the limits of a fleet of today's size.
func DefaultPolicy() Policy {
	return Policy{
		RebootGrace:   30 * time.Second,
		ReturnTimeout: 15 * time.Minute,
		ForgetAfter:   time.Hour,
		LendAfter:     2 * time.Minute,
		LostFor:       2 * time.Hour,
		KnownFor:      35 * time.Second,
		FailureShare:  0.1,
		FailureFloor:  3,
		StartWindow:   10 * time.Second,
		StartLimit:    4,
	}
}

// failureLimit is how many instances may be missing before waves wait.
func (p Policy) failureLimit(instances int) int {
	return max(p.FailureFloor, int(p.FailureShare*float64(instances)))
}
