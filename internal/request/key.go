package request

import (
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/problem"
)

// Key is a caller's Idempotency-Key, a UUIDv7 in its usual form; empty means
// none.
type Key string

// Window of times in which a key must have been made.
const (
	KeyRetention = 15 * time.Minute // outcomes are kept for this long
	KeySkew      = 30 * time.Second // how far a caller's clock may be ahead
)

// uuidVersionTime is the UUID version whose first bits are a time.
const uuidVersionTime = 7

// ParseKey checks that text is a UUIDv7 made within the window before now.
func ParseKey(text string, now time.Time) (Key, error) {
	id, ok := parseUUIDv7(text)
	if !ok {
		return "", badKey("expected a UUIDv7")
	}
	made := keyTime(id)
	if made.After(now.Add(KeySkew)) {
		return "", badKey("its time is in the future")
	}
	if made.Before(now.Add(-KeyRetention)) {
		return "", badKey("it has expired")
	}
	return Key(id.String()), nil
}

// WellFormedKey reports whether text is a UUIDv7 of any time. One that is not
// is refused wherever and whenever it comes, so its request never runs.
func WellFormedKey(text string) bool {
	_, ok := parseUUIDv7(text)
	return ok
}

func parseUUIDv7(text string) (uuid.UUID, bool) {
	id, err := uuid.Parse(text)
	return id, err == nil && id.Version() == uuidVersionTime && id.Variant() == uuid.RFC4122
}

// CreatedAt returns the time that the key carries, to the millisecond.
func (k Key) CreatedAt() time.Time {
	id, err := uuid.Parse(string(k))
	if err != nil {
		return time.Time{}
	}
	return keyTime(id)
}

func keyTime(id uuid.UUID) time.Time {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

func badKey(detail string) error {
	return problem.New(problem.Invalid, problem.StepParse, "", "Idempotency-Key: "+detail)
}
