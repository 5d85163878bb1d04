package ledger_test

import (
	"context"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/request"
)

// Sizes of the model.
const (
	modelWriters = 3
	modelKeys    = 4
)

// model interleaves writers, their writes in flight, lost answers and folds
// over one shard, and notes who was granted what.
type model struct {
	log     ledger.LogStore
	now     time.Time
	keys    []uuid.UUID
	writers []*writer
	flights []flight
	granted map[uuid.UUID]map[ledger.Attempt]bool
	last    ledger.Attempt
	failed  string
}

func newModel(log ledger.LogStore, now time.Time) *model {
	m := &model{log: log, now: now, granted: map[uuid.UUID]map[ledger.Attempt]bool{}}
	for i := range modelKeys {
		m.keys = append(m.keys, keyAt(now, uint64(i)))
	}
	for range modelWriters {
		m.writers = append(m.writers, &writer{})
	}
	return m
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"claim":  func(t *rapid.T) { m.claim(m.writer(t), m.key(t)) },
		"refuse": func(t *rapid.T) { m.end(m.writer(t), m.key(t), ledger.PhaseRefused) },
		"finish": func(t *rapid.T) { m.end(m.writer(t), m.key(t), ledger.PhaseFinished) },
		"land":   m.land,
		"reload": func(t *rapid.T) { m.writer(t).state = nil },
		"fold":   func(t *rapid.T) { m.fold(m.writer(t)) },
		"fill":   func(t *rapid.T) { m.fill(m.writer(t)) },
		"":       m.check,
	}
}

func (m *model) writer(t *rapid.T) *writer {
	w := m.writers[rapid.IntRange(0, modelWriters-1).Draw(t, "writer")]
	if w.state == nil {
		m.load(w)
	}
	return w
}

func (m *model) key(t *rapid.T) uuid.UUID {
	return m.keys[rapid.IntRange(0, modelKeys-1).Draw(t, "key")]
}

func (m *model) load(w *writer) {
	snapshot, err := m.log.Load(context.Background(), 0)
	if err != nil {
		m.failed = err.Error()
	}
	w.state = ledger.NewState(snapshot)
}

// current returns what w believes of key.
func (m *model) current(w *writer, key uuid.UUID) ledger.Record {
	r, found, number, folded := w.state.Find(key)
	if found || !folded {
		return r
	}
	segment, err := m.log.ReadSegment(context.Background(), 0, number)
	if err != nil {
		m.failed = err.Error()
		return r
	}
	r, _ = segment.Find(key)
	return r
}

func (m *model) claim(w *writer, key uuid.UUID) {
	m.last++
	m.decide(w, ledger.Record{Key: key, Attempt: m.last, Phase: ledger.PhaseClaimed, Deadline: m.now.Add(time.Hour)})
}

// end asks for an end of the attempt that the log names.
func (m *model) end(w *writer, key uuid.UUID, phase ledger.Phase) {
	m.decide(w, ledger.Record{Key: key, Attempt: m.current(w, key).Attempt, Phase: phase})
}

func (m *model) decide(w *writer, operation ledger.Record) {
	verdict, write := ledger.Decide(m.current(w, operation.Key), operation, m.now)
	if !write {
		m.take(operation, verdict)
		return
	}
	if w.state.Full() {
		m.fold(w)
	}
	seq, over := w.state.Next()
	m.flights = append(m.flights, flight{writer: w, state: w.state, over: over, key: operation.Key, attempt: operation.Attempt,
		batch: ledger.Batch{Seq: seq, Records: []ledger.Record{verdict.Record}}})
}

func (m *model) take(operation ledger.Record, v ledger.Verdict) {
	if operation.Phase == ledger.PhaseClaimed && v.State == request.ClaimGranted {
		if m.granted[operation.Key] == nil {
			m.granted[operation.Key] = map[ledger.Attempt]bool{}
		}
		m.granted[operation.Key][operation.Attempt] = true
	}
}

// land lets one write in flight, however old, reach the store. Its answer may
// be lost; then the writer loads anew and its attempt asks again.
func (m *model) land(t *rapid.T) {
	if len(m.flights) == 0 {
		t.Skip("nothing is in flight")
	}
	i := rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight")
	f := m.flights[i]
	m.flights = append(m.flights[:i], m.flights[i+1:]...)
	operation := f.batch.Records[0]
	version, err := m.log.Append(context.Background(), 0, f.batch, f.over)
	if rapid.Bool().Draw(t, "lost") {
		m.load(f.writer)
		m.askAgain(f.writer, operation)
		return
	}
	if err != nil {
		m.load(f.writer)
		return
	}
	m.take(operation, ledger.Verdict{State: request.ClaimGranted})
	if seq, _ := f.state.Next(); f.writer.state == f.state && seq == f.batch.Seq {
		f.state.Apply(ledger.StoredBatch{Batch: f.batch, Version: version})
		return
	}
	m.load(f.writer)
}

func (m *model) askAgain(w *writer, operation ledger.Record) {
	if operation.Phase == ledger.PhaseClaimed {
		verdict, write := ledger.Decide(m.current(w, operation.Key), operation, m.now)
		if !write {
			m.take(operation, verdict)
		}
	}
}

func (m *model) fold(w *writer) {
	segment, ok := w.state.ToFold()
	if !ok {
		return
	}
	if err := m.log.WriteSegment(context.Background(), 0, segment); err != nil {
		m.failed = err.Error()
	}
	w.state.Fold(segment.Index())
}

// fill writes a segment's worth of batches about other keys.
func (m *model) fill(w *writer) {
	for range ledger.FoldBatches {
		if w.state.Full() {
			m.fold(w)
		}
		seq, over := w.state.Next()
		m.last++
		batch := ledger.Batch{Seq: seq, Records: []ledger.Record{{Key: keyAt(m.now, uint64(modelKeys)+uint64(m.last)), Attempt: m.last, Phase: ledger.PhaseClaimed}}}
		version, err := m.log.Append(context.Background(), 0, batch, over)
		if err != nil {
			m.load(w)
			return
		}
		w.state.Apply(ledger.StoredBatch{Batch: batch, Version: version})
	}
}

func (m *model) check(t *rapid.T) {
	if m.failed != "" {
		t.Fatal(m.failed)
	}
	for key, attempts := range m.granted {
		if len(attempts) > 1 {
			t.Fatalf("%s was granted to %d attempts", key, len(attempts))
		}
		fresh := &writer{}
		m.load(fresh)
		if r := m.current(fresh, key); !attempts[r.Attempt] {
			t.Fatalf("the log forgot who was granted %s: %+v", key, r)
		}
	}
}

// keyAt returns the n-th UUIDv7 of a time.
func keyAt(at time.Time, n uint64) uuid.UUID {
	var id uuid.UUID
	millis := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 7 {
		id[15-i] = byte(n >> (8 * i))
	}
	return id
}
