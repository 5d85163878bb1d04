package request

import (
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/problem"
)

// Key is a caller's Idempotency-Key: a UUIDv7 in its canonical form, or empty when
// the caller sent none.
type Key string

// Bounds on the time at which a key was created, relative to the present.
const (
	KeyRetention = 15 * time.Minute // for this long the ledger retains outcomes
	KeySkew      = 30 * time.Second // a caller's clock may be ahead by this much
)

// uuidVersionTime is the UUID version whose first 48 bits are a Unix time in
// milliseconds.
const uuidVersionTime = 7

// ParseKey returns the key in text. It returns an error of kind Invalid unless
// text is a UUIDv7 that was created within KeyRetention before now and KeySkew
// after it.
func ParseKey(text string, now time.Time) (Key, error) {
	id, ok := parseUUIDv7(text)
	if !ok {
		return "", invalidKey("expected a UUIDv7")
	}
	created := keyTime(id)
	if created.After(now.Add(KeySkew)) {
		return "", invalidKey("its time is in the future")
	}
	if created.Before(now.Add(-KeyRetention)) {
		return "", invalidKey("it has expired")
	}
	return Key(id.String()), nil
}

// WellFormedKey reports whether text is a UUIDv7 of any time. Every entry refuses
// any other text at any time, so a request with such a key never runs.
func WellFormedKey(text string) bool {
	_, ok := parseUUIDv7(text)
	return ok
}

func parseUUIDv7(text string) (uuid.UUID, bool) {
	id, err := uuid.Parse(text)
	return id, err == nil && id.Version() == uuidVersionTime && id.Variant() == uuid.RFC4122
}

// CreatedAt returns the time at which the key was created, to the millisecond, or
// the zero time when the key is empty or malformed.
func (k Key) CreatedAt() time.Time {
	id, err := uuid.Parse(string(k))
	if err != nil {
		return time.Time{}
	}
	return keyTime(id)
}

// keyTime returns the time in the first 48 bits of a UUIDv7.
func keyTime(id uuid.UUID) time.Time {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

func invalidKey(detail string) error {
	return problem.New(problem.Invalid, problem.StepParse, "", "Idempotency-Key: "+detail)
}
