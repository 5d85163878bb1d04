package ledger

import (
	"context"

	"github.com/google/uuid"

	"persimmonbay/internal/request"
)

// AnswerStore stores answers that are too large for the log, each under its key
// and attempt. The store removes an answer by itself after its key has expired.
// Errors are *problem.Error.
type AnswerStore interface {
	// WriteAnswer stores the answer and returns the number of values that it is
	// split into, or an error of kind TooLarge when it cannot be split to fit.
	// It is idempotent.
	WriteAnswer(ctx context.Context, key uuid.UUID, attempt Attempt, answer *request.Answer) (parts int, err error)
	// ReadAnswer returns an answer that was written as parts values, or an error
	// of kind NotFound.
	ReadAnswer(ctx context.Context, key uuid.UUID, attempt Attempt, parts int) (*request.Answer, error)
}
