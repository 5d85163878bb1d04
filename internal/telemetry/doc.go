// Package telemetry provides the logger (JSON lines, by zap) and the metrics
// (expvar, with histograms by team, class and outcome) of one entry.
package telemetry
