package maintenance

import "persimmonbay/internal/shard"

// View is this process's copy of the records in the store. The instances'
// records are in shards by instance, each under its own lock; the rest is in
// one cell. Only one goroutine writes, the one that watches the store, in the
// order of the store's revisions. A snapshot locks all shards and is therefore
// of one revision.
type View struct {
	records *shard.Map[string, Record]
	state   *shard.Cell[State]
}

// NewView returns an empty view.
func NewView() *View {
	return &View{records: shard.NewMap[string, Record](), state: shard.NewCell(State{})}
}

// PutRecord sets a record as stored at its version.
func (v *View) PutRecord(r Record) {
	v.records.Set(r.Instance, r)
	v.advance(r.Version, func(s *State) {})
}

// DropRecord removes a record that was deleted at a revision.
func (v *View) DropRecord(instance string, revision uint64) {
	v.records.Delete(instance)
	v.advance(revision, func(s *State) {})
}

// PutDisruptions sets the disruptions as stored at their version.
func (v *View) PutDisruptions(d Disruptions) {
	v.advance(d.Version, func(s *State) { s.Disruptions = d })
}

// PutWave sets the wave as stored at its version.
func (v *View) PutWave(w Wave) {
	v.advance(w.Version, func(s *State) { s.Wave = w })
}

// PutRoster sets the roster as stored at its version.
func (v *View) PutRoster(r EntryRoster) {
	v.advance(r.Version, func(s *State) { s.Roster = r })
}

// Retain removes every record that is not among the listed ones and marks the
// view as of one revision.
func (v *View) Retain(listed map[string]bool) {
	v.records.Range(func(id string, _ Record) bool {
		if !listed[id] {
			v.records.Delete(id)
		}
		return true
	})
	v.state.Update(func(s State) (State, bool) { s.Consistent = true; return s, true })
}

func (v *View) advance(revision uint64, change func(*State)) {
	v.state.Update(func(s State) (State, bool) {
		change(&s)
		s.Revision = max(s.Revision, revision)
		return s, true
	})
}

// State returns the content of the view apart from the records.
func (v *View) State() State { return v.state.Get() }

// Changed returns a channel that is closed at the next change of the state;
// every write of the view changes it.
func (v *View) Changed() <-chan struct{} {
	_, changed := v.state.Watch()
	return changed
}

// Record returns the record of an instance.
func (v *View) Record(instance string) (Record, bool) { return v.records.Get(instance) }

// Leaving calls visit for the record of each instance that is leaving.
func (v *View) Leaving(visit func(Record)) {
	v.records.Range(func(_ string, r Record) bool {
		if r.Phase == Leaving {
			visit(r)
		}
		return true
	})
}

// Invalidate marks the view as not of one revision, until the listing that
// replaces it is complete (see Retain).
func (v *View) Invalidate() {
	v.state.Update(func(s State) (State, bool) { s.Consistent = false; return s, true })
}

// Fill copies the view into s and reports whether it is of one revision.
func (v *View) Fill(s *Snapshot) bool {
	s.Records = make(map[string]Record)
	var state State
	v.records.Snapshot(
		func() { state = v.state.Get() },
		func(id string, r Record) { s.Records[id] = r },
	)
	s.Disruptions, s.Wave, s.Roster = state.Disruptions, state.Wave, state.Roster
	return state.Consistent
}
