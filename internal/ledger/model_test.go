package ledger_test

import (
	"context"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/request"
)

// Sizes of the model: its writers, and the keys that they compete for.
const (
	modelWriters = 3
	modelKeys    = 4
)

// model interleaves writers, writes in flight, lost responses and folds on one
// shard, and records which attempts were granted each key.
type model struct {
	log      ledger.LogStore
	now      time.Time
	keys     []uuid.UUID
	writers  []*writer
	inFlight []inFlightWrite
	granted  map[uuid.UUID]map[ledger.Attempt]bool
	last     ledger.Attempt
	failed   string
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
		"refuse": func(t *rapid.T) { m.complete(m.writer(t), m.key(t), ledger.PhaseRefused) },
		"finish": func(t *rapid.T) { m.complete(m.writer(t), m.key(t), ledger.PhaseFinished) },
		"land":   m.deliver,
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

// current returns the latest record of key in the state of w.
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

// complete decides, for w, that the attempt in the latest record of key ends with
// phase.
func (m *model) complete(w *writer, key uuid.UUID, phase ledger.Phase) {
	m.decide(w, ledger.Record{Key: key, Attempt: m.current(w, key).Attempt, Phase: phase})
}

func (m *model) decide(w *writer, operation ledger.Record) {
	verdict, write := ledger.Decide(m.current(w, operation.Key), operation, m.now)
	if !write {
		m.recordGrant(operation, verdict)
		return
	}
	if w.state.Full() {
		m.fold(w)
	}
	seq, ifVersion := w.state.Next()
	m.inFlight = append(m.inFlight, inFlightWrite{writer: w, state: w.state, ifVersion: ifVersion, key: operation.Key, attempt: operation.Attempt,
		batch: ledger.Batch{Seq: seq, Records: []ledger.Record{verdict.Record}}})
}

func (m *model) recordGrant(operation ledger.Record, v ledger.Verdict) {
	if operation.Phase == ledger.PhaseClaimed && v.State == request.ClaimGranted {
		if m.granted[operation.Key] == nil {
			m.granted[operation.Key] = map[ledger.Attempt]bool{}
		}
		m.granted[operation.Key][operation.Attempt] = true
	}
}

// deliver sends one write in flight, however old, to the store. Its response may
// be lost; the writer then loads the log and retries the claim.
func (m *model) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("nothing is in flight")
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "flight")
	f := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	operation := f.batch.Records[0]
	version, err := m.log.Append(context.Background(), 0, f.batch, f.ifVersion)
	if rapid.Bool().Draw(t, "lost") {
		m.load(f.writer)
		m.retryClaim(f.writer, operation)
		return
	}
	if err != nil {
		m.load(f.writer)
		return
	}
	m.recordGrant(operation, ledger.Verdict{State: request.ClaimGranted})
	if seq, _ := f.state.Next(); f.writer.state == f.state && seq == f.batch.Seq {
		f.state.Apply(ledger.StoredBatch{Batch: f.batch, Version: version})
		return
	}
	m.load(f.writer)
}

func (m *model) retryClaim(w *writer, operation ledger.Record) {
	if operation.Phase == ledger.PhaseClaimed {
		verdict, write := ledger.Decide(m.current(w, operation.Key), operation, m.now)
		if !write {
			m.recordGrant(operation, verdict)
		}
	}
}

func (m *model) fold(w *writer) {
	segment, ok := w.state.NextSegment()
	if !ok {
		return
	}
	if err := m.log.WriteSegment(context.Background(), 0, segment); err != nil {
		m.failed = err.Error()
	}
	w.state.MarkFolded(segment.Index())
}

// fill writes FoldBatches batches with other keys.
func (m *model) fill(w *writer) {
	for range ledger.FoldBatches {
		if w.state.Full() {
			m.fold(w)
		}
		seq, ifVersion := w.state.Next()
		m.last++
		batch := ledger.Batch{Seq: seq, Records: []ledger.Record{{Key: keyAt(m.now, uint64(modelKeys)+uint64(m.last)), Attempt: m.last, Phase: ledger.PhaseClaimed}}}
		version, err := m.log.Append(context.Background(), 0, batch, ifVersion)
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
			t.Fatalf("the log does not name the attempt that was granted %s: %+v", key, r)
		}
	}
}

// keyAt returns the n-th UUIDv7 of the time at.
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
