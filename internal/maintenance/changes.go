package maintenance

// Changes are the next steps of a plan. Each change is one compare-and-swap
// against the version from which it was planned. The changes may be made in any
// order, and each may fail without affecting the others.
type Changes struct {
	Roster      *EntryRoster // to be written; nil: unchanged
	Records     []Record     // to be written
	Deleted     []Record     // to be deleted
	Disruptions *Disruptions // to be written; nil: unchanged
	Wave        *Wave        // to be written; nil: unchanged
	Reboots     []Record     // to be requested from the platform once the record is written
}

// Empty reports whether there are no changes.
func (c Changes) Empty() bool {
	return c.Roster == nil && len(c.Records) == 0 && len(c.Deleted) == 0 && c.Disruptions == nil && c.Wave == nil && len(c.Reboots) == 0
}
