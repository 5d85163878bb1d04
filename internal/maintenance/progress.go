package maintenance

// Progress is the state of a wave, by one snapshot.
type Progress struct {
	Wave     Wave      `json:"wave"`
	Total    int       `json:"total"`   // instances that it covers
	Done     int       `json:"done"`    // rebooted and live again
	Away     int       `json:"away"`    // reserved, leaving, drained or rebooting
	Lost     []string  `json:"lost"`    // rebooted and not back within the return timeout
	Missing  []string  `json:"missing"` // absent for no planned reason
	Blockers []Blocker `json:"holds"`   // why no further instance is taken; empty while the wave continues
}

// ProgressOf returns the progress of the latest wave.
func ProgressOf(s *Snapshot, p Policy) Progress {
	out := Progress{Wave: s.Wave, Lost: []string{}, Missing: []string{}, Blockers: []Blocker{}}
	for _, id := range sortedIDs(s.Records) {
		r := s.Records[id]
		if s.Wave.ID == "" || !s.Wave.Covers(r) {
			continue
		}
		out.Total++
		_, reserved := s.Disruptions.Find(id)
		switch {
		case r.Maintained == s.Wave.ID:
			out.Done++
		case p.lost(r, s.Now):
			out.Lost = append(out.Lost, id)
		case reserved:
			out.Away++
		case r.Missing():
			out.Missing = append(out.Missing, id)
		}
	}
	if s.Wave.Open() {
		out.Blockers = blockers(s, p)
	}
	return out
}

// blockers returns why the wave takes no further instance at present.
func blockers(s *Snapshot, p Policy) []Blocker {
	if s.Wave.State == WavePaused {
		return []Blocker{{Reason: "paused by an operator; 'wave resume' continues it"}}
	}
	if reason := s.fleetBlocker(p); reason != "" {
		return []Blocker{{Reason: reason}}
	}
	all := []Blocker{}
	counts := PoolCounts(s)
	for _, pool := range sortedIDs(counts) {
		if reason := poolBlocker(s, p, counts[pool]); reason != "" {
			all = append(all, Blocker{Pool: pool, Reason: reason})
		}
	}
	return all
}
