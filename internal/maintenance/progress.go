package maintenance

// Progress is how far a wave is, as one snapshot shows it.
type Progress struct {
	Wave     Wave      `json:"wave"`
	Total    int       `json:"total"`   // instances it covers
	Done     int       `json:"done"`    // rebooted and back
	Away     int       `json:"away"`    // reserved, draining, drained or rebooting
	Lost     []string  `json:"lost"`    // rebooted, and did not come back in time
	Missing  []string  `json:"missing"` // gone from the list without a plan
	Blockers []Blocker `json:"holds"`   // why nothing more is taken; empty while it goes on
}

// ProgressOf returns how far the latest wave is.
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
		out.Blockers = holds(s, p)
	}
	return out
}

// holds returns why the wave takes nothing more now.
func holds(s *Snapshot, p Policy) []Blocker {
	if s.Wave.State == WavePaused {
		return []Blocker{{Reason: "paused by an operator; 'wave resume' lets it go on"}}
	}
	if reason := s.fleetBlocker(p); reason != "" {
		return []Blocker{{Reason: reason}}
	}
	all := []Blocker{}
	tallies := Tallies(s)
	for _, pool := range sortedIDs(tallies) {
		if reason := poolBlocker(s, p, tallies[pool]); reason != "" {
			all = append(all, Blocker{Pool: pool, Reason: reason})
		}
	}
	return all
}
