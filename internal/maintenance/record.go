package maintenance

import "time"

// Record is the stored state of one instance. Pool alone determines to which
// pool it belongs; entries send it work only while it is Serving.
type Record struct {
	Instance     string    `json:"instance"`
	Pool         string    `json:"pool"`
	Home         string    `json:"home"`             // the pool to which it returns; differs from Pool while lent
	Target       string    `json:"target,omitempty"` // the pool to which it moves; set while Leaving for another pool
	Phase        Phase     `json:"phase"`
	Since        time.Time `json:"since"`                 // start of Phase
	Joined       time.Time `json:"joined"`                // when it was first assigned to a pool
	MissingSince time.Time `json:"missingSince,omitzero"` // when the platform's list first showed it not live; zero: it was last seen live
	Maintained   string    `json:"maintained,omitempty"`  // the wave that rebooted it last
	Returned     time.Time `json:"returned,omitzero"`     // Since of the last completed ForReturn reservation
	Reboot       Reboot    `json:"reboot,omitzero"`       // the present reboot, while Rebooting
	Version      uint64    `json:"-"`                     // of the record in the store; 0: not stored yet
}

// Missing reports whether the instance was last seen not live.
func (r Record) Missing() bool { return !r.MissingSince.IsZero() }

// Lent reports whether the instance serves a pool other than its own.
func (r Record) Lent() bool { return r.Pool != r.Home }

// enter returns r in another phase that starts now.
func (r Record) enter(phase Phase, now time.Time) Record {
	r.Phase, r.Since = phase, now
	return r
}
