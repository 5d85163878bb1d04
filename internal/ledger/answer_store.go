package ledger

import (
	"context"

	"github.com/google/uuid"

	"persimmonbay/internal/request"
)

// AnswerStore keeps answers that are too large for the log, each under the
// attempt that brought it. They go by themselves once their keys are refused
// by their own time. Errors are *problem.Error.
type AnswerStore interface {
	// WriteAnswer keeps the answer and returns the number of values it is
	// spread over, or an error of kind TooLarge when no number of values
	// would do. It may be repeated.
	WriteAnswer(ctx context.Context, key uuid.UUID, attempt Attempt, answer *request.Answer) (parts int, err error)
	// ReadAnswer returns an answer, or an error of kind NotFound.
	ReadAnswer(ctx context.Context, key uuid.UUID, attempt Attempt, parts int) (*request.Answer, error)
}
