package wire

import (
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// FromLedgerRecord converts a ledger record to its message.
func FromLedgerRecord(r ledger.Record) *LedgerRecord {
	m := &LedgerRecord{Key: r.Key[:], Attempt: uint64(r.Attempt), Phase: uint32(r.Phase), Entry: r.Entry, Status: uint32(r.Status), AnswerParts: uint32(r.AnswerParts)}
	if r.Digest != (ledger.Digest{}) {
		m.Digest = r.Digest[:]
	}
	if !r.Deadline.IsZero() {
		m.DeadlineMillis = r.Deadline.UnixMilli()
	}
	if r.Answer != nil {
		m.Answer = FromLedgerAnswer(r.Answer)
	}
	return m
}

// ToLedgerRecord converts a message to a ledger record. It returns an error of
// kind Invalid if the key, the digest or the phase is not valid.
func ToLedgerRecord(m *LedgerRecord) (ledger.Record, error) {
	r := ledger.Record{Attempt: ledger.Attempt(m.GetAttempt()), Phase: ledger.Phase(m.GetPhase()), Entry: m.GetEntry(), Status: int(m.GetStatus()), AnswerParts: int(m.GetAnswerParts())}
	if len(m.GetKey()) != len(uuid.UUID{}) || len(m.GetDigest()) > len(ledger.Digest{}) || r.Phase > ledger.PhaseInDoubt {
		return r, problem.New(problem.Invalid, problem.StepParse, "", "decoding a ledger record: its key, digest or phase is not valid")
	}
	copy(r.Key[:], m.GetKey())
	copy(r.Digest[:], m.GetDigest())
	if m.GetDeadlineMillis() != 0 {
		r.Deadline = time.UnixMilli(m.GetDeadlineMillis())
	}
	if a := m.GetAnswer(); a != nil {
		r.Answer = ToLedgerAnswer(a)
	}
	return r, nil
}

// FromLedgerAnswer converts an upstream's answer to its message.
func FromLedgerAnswer(a *request.Answer) *LedgerAnswer {
	m := &LedgerAnswer{Status: uint32(a.Status), Body: a.Body}
	for _, f := range a.Fields {
		m.Fields = append(m.Fields, &LedgerField{Name: f.Name, Value: f.Value})
	}
	return m
}

// ToLedgerAnswer converts a message to an upstream's answer.
func ToLedgerAnswer(m *LedgerAnswer) *request.Answer {
	a := &request.Answer{Status: int(m.GetStatus()), Body: m.GetBody(), Length: int64(len(m.GetBody()))}
	for _, f := range m.GetFields() {
		a.Fields = append(a.Fields, request.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return a
}

// FromLedgerVerdict converts a verdict to its message.
func FromLedgerVerdict(v ledger.Verdict) *LedgerVerdict {
	return &LedgerVerdict{State: uint32(v.State), Record: FromLedgerRecord(v.Record)}
}

// ToLedgerVerdict converts a message to a verdict. It returns an error for a
// missing message, an unknown state or an invalid record, so that none of these
// is taken for a granted claim.
func ToLedgerVerdict(m *LedgerVerdict) (ledger.Verdict, error) {
	if m == nil || m.GetState() > uint32(request.ClaimRefused) {
		return ledger.Verdict{}, problem.New(problem.Interrupted, problem.StepParse, "", "decoding a ledger verdict: it is missing or its state is not valid")
	}
	record, err := ToLedgerRecord(m.GetRecord())
	return ledger.Verdict{State: request.ClaimState(m.GetState()), Record: record}, err
}

// FromLedgerRecords converts ledger records to their messages.
func FromLedgerRecords(records []ledger.Record) []*LedgerRecord {
	all := make([]*LedgerRecord, len(records))
	for i := range records {
		all[i] = FromLedgerRecord(records[i])
	}
	return all
}

// ToLedgerRecords converts messages to ledger records. It returns the first
// error.
func ToLedgerRecords(messages []*LedgerRecord) ([]ledger.Record, error) {
	all := make([]ledger.Record, len(messages))
	for i, m := range messages {
		var err error
		if all[i], err = ToLedgerRecord(m); err != nil {
			return nil, err
		}
	}
	return all, nil
}
