package wire

import (
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// FromLedgerRecord converts a plain record to its message.
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

// ToLedgerRecord converts a message to a plain record.
func ToLedgerRecord(m *LedgerRecord) (ledger.Record, error) {
	r := ledger.Record{Attempt: ledger.Attempt(m.GetAttempt()), Phase: ledger.Phase(m.GetPhase()), Entry: m.GetEntry(), Status: int(m.GetStatus()), AnswerParts: int(m.GetAnswerParts())}
	if len(m.GetKey()) != len(uuid.UUID{}) || len(m.GetDigest()) > len(ledger.Digest{}) || r.Phase > ledger.PhaseInDoubt {
		return r, problem.New(problem.Invalid, problem.StepParse, "", "not a record of the ledger")
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

// FromLedgerAnswer converts a plain answer to its message.
func FromLedgerAnswer(a *request.Answer) *LedgerAnswer {
	m := &LedgerAnswer{Status: uint32(a.Status), Body: a.Body}
	for _, f := range a.Fields {
		m.Fields = append(m.Fields, &LedgerField{Name: f.Name, Value: f.Value})
	}
	return m
}

// ToLedgerAnswer converts a message to a plain answer.
func ToLedgerAnswer(m *LedgerAnswer) *request.Answer {
	a := &request.Answer{Status: int(m.GetStatus()), Body: m.GetBody(), Length: int64(len(m.GetBody()))}
	for _, f := range m.GetFields() {
		a.Fields = append(a.Fields, request.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return a
}

// FromLedgerVerdict converts a plain verdict to its message.
func FromLedgerVerdict(v ledger.Verdict) *LedgerVerdict {
	return &LedgerVerdict{State: uint32(v.State), Record: FromLedgerRecord(v.Record)}
}

// ToLedgerVerdict converts a message to a plain verdict. One that makes no
// sense is an error, never a grant.
func ToLedgerVerdict(m *LedgerVerdict) (ledger.Verdict, error) {
	if m == nil || m.GetState() > uint32(request.ClaimRefused) {
		return ledger.Verdict{}, problem.New(problem.Interrupted, problem.StepParse, "", "not a verdict of the ledger")
	}
	record, err := ToLedgerRecord(m.GetRecord())
	return ledger.Verdict{State: request.ClaimState(m.GetState()), Record: record}, err
}

// FromLedgerRecords converts plain records to their messages.
func FromLedgerRecords(records []ledger.Record) []*LedgerRecord {
	all := make([]*LedgerRecord, len(records))
	for i := range records {
		all[i] = FromLedgerRecord(records[i])
	}
	return all
}

// ToLedgerRecords converts messages to plain records.
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
