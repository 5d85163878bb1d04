package ledgerstore

import (
	"context"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Answers stores the answers that are too large for the log in the platform's
// store. Each is bound to a lease that is never renewed, so the platform removes
// it even if the entry that wrote it has ended, or its outcome was never written
// to the log. It is safe for concurrent use.
type Answers struct {
	kv    platform.Store
	lease *answerLease
}

var _ ledger.AnswerStore = (*Answers)(nil)

// NewAnswers returns an answer store in kv that binds answers to leases of
// lessor.
func NewAnswers(kv platform.Store, lessor platform.Lessor, clock clockwork.Clock) *Answers {
	return &Answers{kv: kv, lease: &answerLease{lessor: lessor, clock: clock}}
}

// WriteAnswer implements ledger.AnswerStore.
func (a *Answers) WriteAnswer(ctx context.Context, key uuid.UUID, attempt ledger.Attempt, answer *request.Answer) (int, error) {
	parts := splitAnswer(wire.FromLedgerAnswer(answer))
	for i, part := range parts {
		if proto.Size(part) > maxValueBytes {
			return 0, problem.New(problem.TooLarge, problem.StepStoreWrite, "", "the answer's header fields exceed the store's largest value")
		}
		if err := a.write(ctx, answerKey(key, attempt, i), part); err != nil {
			return 0, err
		}
	}
	return len(parts), nil
}

// write creates one key, bound to the lease of answerLease.get, so that the key
// exists for long enough even when the write is late. An attempt has only one
// answer, so a key that already exists holds the same value.
func (a *Answers) write(ctx context.Context, key string, part *wire.LedgerAnswerPart) error {
	value, err := encode(part)
	if err != nil {
		return err
	}
	lease, err := a.lease.get(ctx)
	if err != nil {
		return err
	}
	_, err = a.kv.Put(ctx, key, value, platform.MustNotExist(), lease)
	switch {
	case problem.Is(err, problem.Conflict):
		return nil
	case problem.Is(err, problem.NotFound):
		a.lease.forget(lease)
	case problem.Is(err, problem.Interrupted), problem.Is(err, problem.Timeout):
		// The write may have taken effect although its response was lost.
		if _, readErr := a.kv.Get(ctx, key); readErr == nil {
			return nil
		}
	}
	return err
}

// ReadAnswer implements ledger.AnswerStore.
func (a *Answers) ReadAnswer(ctx context.Context, key uuid.UUID, attempt ledger.Attempt, parts int) (*request.Answer, error) {
	whole := &wire.LedgerAnswer{}
	for i := range parts {
		item, err := a.kv.Get(ctx, answerKey(key, attempt, i))
		if err != nil {
			return nil, err
		}
		part := &wire.LedgerAnswerPart{}
		if err := decode(item, part); err != nil {
			return nil, err
		}
		if int(part.GetParts()) != parts {
			return nil, problem.New(problem.Internal, problem.StepStoreRead, item.Key, "the answer's number of parts differs from that in the log")
		}
		if i == 0 {
			whole = part.GetAnswer()
			continue
		}
		whole.Body = append(whole.Body, part.GetAnswer().GetBody()...)
	}
	return wire.ToLedgerAnswer(whole), nil
}

// splitAnswer splits an answer into parts with at most maxPartBytes of its body
// each. The first part also holds the status and the header fields.
func splitAnswer(answer *wire.LedgerAnswer) []*wire.LedgerAnswerPart {
	body := answer.Body
	var parts []*wire.LedgerAnswerPart
	for len(parts) == 0 || len(body) > 0 {
		n := min(len(body), maxPartBytes)
		part := &wire.LedgerAnswer{Body: body[:n]}
		if len(parts) == 0 {
			part.Status, part.Fields = answer.Status, answer.Fields
		}
		parts, body = append(parts, &wire.LedgerAnswerPart{Answer: part}), body[n:]
	}
	for _, p := range parts {
		p.Parts = uint32(len(parts))
	}
	return parts
}
