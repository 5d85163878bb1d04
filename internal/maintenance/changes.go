package maintenance

// Changes are the next steps of a plan. Each is one compare-and-swap against
// the version it was planned from; they may be made in any order, and any may
// fail without harm to the others.
type Changes struct {
	Roster      *EntryRoster // to be written; nil: unchanged
	Records     []Record     // to be written
	Forgotten   []Record     // to be deleted
	Disruptions *Disruptions // to be written; nil: unchanged
	Wave        *Wave        // to be written; nil: unchanged
	Reboots     []Record     // whose reboot is to be asked for once the record is written
}

// Empty reports whether there is nothing to do.
func (c Changes) Empty() bool {
	return c.Roster == nil && len(c.Records) == 0 && len(c.Forgotten) == 0 && c.Disruptions == nil && c.Wave == nil && len(c.Reboots) == 0
}
