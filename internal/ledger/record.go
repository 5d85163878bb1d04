package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"persimmonbay/internal/request"
)

// recordBytes is about the encoded size of a record without its answer.
const recordBytes = 72

// Record is what the log says of one key. As an operation it is what an
// attempt wants the log to say. The latest record of a key holds.
type Record struct {
	Key      uuid.UUID
	Digest   Digest
	Attempt  Attempt
	Phase    Phase
	Entry    string          // of the attempt
	Deadline time.Time       // after which a claim without an outcome is in doubt
	Status   int             // of the upstream's answer; 0 when there is none
	Answer   *request.Answer // nil when it is not in the log

	// AnswerParts is the number of values that hold the answer outside the
	// log; 0 when it is in the log or was not kept.
	AnswerParts int
}

// Bytes returns about the encoded size.
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

// tooLargeForLog reports whether the answer has to be kept outside the log.
func (r *Record) tooLargeForLog() bool {
	return r.Answer != nil && r.Bytes() > recordBytes+logAnswerBytes
}

// AnswerSaved reports whether a repeat can be given the answer.
func (r *Record) AnswerSaved() bool { return r.Answer != nil || r.AnswerParts > 0 }

// fieldBytes is the encoding's own part of a header field.
const fieldBytes = 6

// fingerprint stands for the key in the index of folded records.
func (r *Record) fingerprint() uint64 { return fingerprint(r.Key) }

func fingerprint(key uuid.UUID) uint64 { return xxhash.Sum64(key[:]) }

// InDoubt reports whether nobody can know any more what became of the key.
func (r *Record) InDoubt(now time.Time) bool {
	return r.Phase == PhaseInDoubt || r.Phase == PhaseClaimed && now.After(r.Deadline)
}
