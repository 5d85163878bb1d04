package membership

// EntryID names one entry process.
type EntryID string
