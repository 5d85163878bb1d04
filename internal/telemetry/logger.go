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
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, problem.Wrap(problem.Invalid, problem.StepSettings, "", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}
