package settings

import "time"

// JobIdentity says how long an entry that may not know the newest configuration goes on
// serving callers by the keys that it knows.
type JobIdentity struct {
	FailClosed   bool          `yaml:"failClosed"`                                                // serve no keyed call once RevokeWithin may have passed
	RevokeWithin time.Duration `yaml:"revokeWithin" validate:"gte=0,required_if=FailClosed true"` // from the withdrawal of a key until no call with it is served
}
