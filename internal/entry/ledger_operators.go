package entry

import (
	"context"
	"sort"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/ledger"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// LedgerEntry implements operator.Backend.
func (e *Entry) LedgerEntry(ctx context.Context, key string) (message.LedgerEntry, error) {
	id, err := uuid.Parse(key)
	if err != nil || !request.WellFormedKey(key) {
		return message.LedgerEntry{}, problem.New(problem.Invalid, problem.StepParse, "", "expected a UUIDv7")
	}
	verdict, err := e.ledger.Lookup(ctx, id)
	if err != nil {
		return message.LedgerEntry{}, err
	}
	verdict.Record.Key = id
	return ledgerEntry(verdict.Record, e.clock.Now()), nil
}

// LedgerInDoubt implements operator.Backend. The oldest come first.
func (e *Entry) LedgerInDoubt(ctx context.Context) ([]message.LedgerEntry, error) {
	records, err := e.ledger.InDoubt(ctx)
	if err != nil {
		return nil, err
	}
	entries := make([]message.LedgerEntry, 0, len(records))
	for _, r := range records {
		entries = append(entries, ledgerEntry(r, e.clock.Now()))
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].CreatedAt.Before(entries[j].CreatedAt) })
	return entries, nil
}

func ledgerEntry(r ledger.Record, now time.Time) message.LedgerEntry {
	entry := message.LedgerEntry{
		Key: r.Key.String(), State: r.Phase.String(), Outcome: string(fleet.Unknown), Entry: r.Entry,
		CreatedAt: request.Key(r.Key.String()).CreatedAt(), Deadline: r.Deadline, Status: r.Status, AnswerSaved: r.AnswerSaved(),
	}
	switch {
	case r.Phase == ledger.PhaseRefused:
		entry.Outcome = string(fleet.NotRun)
	case r.Phase == ledger.PhaseFinished && r.AnswerSaved():
		entry.Outcome = string(fleet.Completed)
	case r.InDoubt(now):
		entry.State = ledger.PhaseInDoubt.String()
	}
	return entry
}
