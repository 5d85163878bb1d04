package readbudget

import "time"

// Limits of one request and one connection.
type Limits struct {
	HeadBytes int           // largest head
	BodyBytes int64         // largest body; 0: bounded elsewhere
	HeadTime  time.Duration // from the first byte of a head to its last
	IdleTime  time.Duration // without a request
}

// Defaults of what a configuration leaves open.
const (
	DefaultHeadBytes = 32 << 10
	DefaultBodyBytes = 256 << 10
	DefaultHeadTime  = 5 * time.Second
	DefaultIdleTime  = 2 * time.Minute
)

// Progress that a body must make: MinBodyProgress bytes, or its end, within each BodyStall.
const (
	MinBodyProgress = 1 << 10
	BodyStall       = 5 * time.Second
)

// WithDefaults returns l with the defaults for what is zero.
func (l Limits) WithDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = DefaultHeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = DefaultIdleTime
	}
	return l
}
