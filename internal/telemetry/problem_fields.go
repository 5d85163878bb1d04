package telemetry

import (
	"errors"

	"go.uber.org/zap"

	"persimmonbay/internal/problem"
)

// ProblemFields returns the log fields of err: step, peer, kind and text, or only
// the text when err is no problem.Error.
func ProblemFields(err error) []zap.Field {
	var p *problem.Error
	if !errors.As(err, &p) {
		return []zap.Field{zap.Error(err)}
	}
	return []zap.Field{zap.String("step", string(p.Step)), zap.String("peer", p.Peer), zap.String("kind", string(p.Kind)), zap.Error(err)}
}
