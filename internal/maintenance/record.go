package maintenance

import "time"

// Record is all that is kept of one instance. Pool is the one place that says
// which pool it belongs to; entries send it work only while it is Serving.
type Record struct {
	Instance     string    `json:"instance"`
	Pool         string    `json:"pool"`
	Home         string    `json:"home"`             // the pool it returns to; differs from Pool while lent
	Target       string    `json:"target,omitempty"` // where it moves to; set while Leaving for another pool
	Phase        Phase     `json:"phase"`
	Since        time.Time `json:"since"`                 // of Phase
	Joined       time.Time `json:"joined"`                // when it was first assigned to a pool
	MissingSince time.Time `json:"missingSince,omitzero"` // first seen not live on the platform's list; zero: live
	Maintained   string    `json:"maintained,omitempty"`  // the wave that rebooted it last
	Returned     time.Time `json:"returned,omitzero"`     // when the latest return was reserved that has been carried out
	Reboot       Reboot    `json:"reboot,omitzero"`       // the reboot under way, while Rebooting
	Version      uint64    `json:"-"`                     // of the record in the store; 0: not stored yet
}

// Missing reports whether the instance was last seen not live.
func (r Record) Missing() bool { return !r.MissingSince.IsZero() }

// Lent reports whether the instance serves a pool that is not its own.
func (r Record) Lent() bool { return r.Pool != r.Home }

// enter returns r in another phase since now.
func (r Record) enter(phase Phase, now time.Time) Record {
	r.Phase, r.Since = phase, now
	return r
}
