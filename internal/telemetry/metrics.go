package telemetry

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strings"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// Metrics holds the metrics of one entry. One process may have several, so none
// is published in expvar's global table. It is safe for concurrent use.
type Metrics struct {
	series *shard.Map[string, *series] // by team/class/outcome/measure
	vars   *expvar.Map
}

// NewMetrics returns metrics without any recorded durations.
func NewMetrics() *Metrics {
	m := &Metrics{series: shard.NewMap[string, *series](), vars: new(expvar.Map).Init()}
	m.Publish("requests", func() any { return m.summaries() })
	return m
}

// Publish adds a variable. value is called whenever the metrics are read.
func (m *Metrics) Publish(name string, value func() any) { m.vars.Set(name, expvar.Func(value)) }

// Record adds the duration d to the histogram of this team, class, outcome and
// measure.
func (m *Metrics) Record(team string, class fleet.Class, outcome fleet.Outcome, measure Measure, d time.Duration) {
	key := strings.Join([]string{team, class.String(), string(outcome), string(measure)}, "/")
	m.series.GetOrCreate(key, newSeries).record(d)
}

func (m *Metrics) summaries() map[string]Summary {
	all := make(map[string]Summary)
	m.series.Range(func(key string, s *series) bool {
		all[key] = s.summary()
		return true
	})
	return all
}

// ServeHTTP writes this entry's variables, under "entry", and those of expvar's
// global table as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	document := map[string]json.RawMessage{"entry": json.RawMessage(m.vars.String())}
	expvar.Do(func(kv expvar.KeyValue) { document[kv.Key] = json.RawMessage(kv.Value.String()) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document) // when the write fails, the client sees a broken connection
}
