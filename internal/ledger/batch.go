package ledger

// Batch is one write to a shard's log.
type Batch struct {
	Seq     uint64 // from 1, without gaps
	Records []Record
}
