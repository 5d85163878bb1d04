package telemetry

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"persimmonbay/internal/problem"
)

// NewLogger returns a logger that writes JSON lines to w. level is debug, info,
// warn or error. The error for an unknown level is a problem.Invalid.
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	log, _, err := NewLeveledLogger(w, level)
	return log, err
}

// NewLeveledLogger returns a logger like NewLogger, and its level, which may be changed
// while the logger is in use.
func NewLeveledLogger(w io.Writer, level string) (*zap.Logger, zap.AtomicLevel, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, parsed, problem.Wrap(problem.Invalid, problem.StepSettings, "", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), parsed, nil
}
