package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"persimmonbay/internal/request"
)

// recordBytes is the approximate encoded size of a record without its answer.
const recordBytes = 72

// Record is the state of one key in the log. Only the latest record of a key is
// valid. As an operation, a Record is the state that an attempt requests.
type Record struct {
	Key      uuid.UUID
	Digest   Digest
	Attempt  Attempt
	Phase    Phase
	Entry    string          // ID of the entry that makes the attempt
	Deadline time.Time       // after which a claim without an outcome is in doubt
	Status   int             // of the upstream's answer; 0 when there is none
	Answer   *request.Answer // nil when the record does not hold the answer

	// AnswerParts is the number of values that hold the answer outside the
	// log. It is 0 when the answer is in the log or was not saved.
	AnswerParts int
}

// Bytes returns the approximate encoded size.
func (r *Record) Bytes() int {
	n := recordBytes + len(r.Entry)
	if r.Answer == nil {
		return n
	}
	n += len(r.Answer.Body)
	for _, f := range r.Answer.Fields {
		n += len(f.Name) + len(f.Value) + fieldBytes
	}
	return n
}

// tooLargeForLog reports whether the answer has to be stored outside the log.
func (r *Record) tooLargeForLog() bool {
	return r.Answer != nil && r.Bytes() > recordBytes+logAnswerBytes
}

// AnswerSaved reports whether the answer was saved and can be returned to a
// repeat of the request.
func (r *Record) AnswerSaved() bool { return r.Answer != nil || r.AnswerParts > 0 }

// fieldBytes is the approximate overhead of an encoded header field.
const fieldBytes = 6

// fingerprint returns the hash that represents the record's key in an Index.
func (r *Record) fingerprint() uint64 { return fingerprint(r.Key) }

func fingerprint(key uuid.UUID) uint64 { return xxhash.Sum64(key[:]) }

// InDoubt reports whether the outcome of the work under the key is unknown at
// now: it was recorded so, or the claim has passed its deadline.
func (r *Record) InDoubt(now time.Time) bool {
	return r.Phase == PhaseInDoubt || r.Phase == PhaseClaimed && now.After(r.Deadline)
}
