// Package telemetry holds the logs (JSON lines by zap) and the metrics (expvar,
// with histograms for each team and class) of one entry.
package telemetry
