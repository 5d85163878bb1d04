package ledger

// Batch is a group of records that one write appends to a shard's log.
type Batch struct {
	Seq     uint64 // from 1, without gaps
	Records []Record
}
