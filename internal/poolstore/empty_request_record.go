package poolstore

import "time"

// emptyRequestRecord is the stored form of the request to empty a machine.
type emptyRequestRecord struct {
	By      int64 `cbor:"1,keyasint"` // Unix time in milliseconds
	Emptied bool  `cbor:"2,keyasint,omitempty"`
}

// EncodeEmptyRequest returns the value of the key of a machine that is to be emptied
// by the given time, or has been emptied.
func EncodeEmptyRequest(by time.Time, emptied bool) ([]byte, error) {
	return encode(emptyRequestRecord{By: unixMillis(by), Emptied: emptied})
}

// DecodeEmptyRequest decodes the value of the key of a machine that is to be
// emptied. It returns Internal when the value cannot be decoded or the time is out
// of bounds.
func DecodeEmptyRequest(key string, value []byte) (by time.Time, emptied bool, err error) {
	var r emptyRequestRecord
	err = decode(key, value, &r)
	if by := fromUnixMillis(r.By); err == nil && (r.By <= 0 || by.After(lastTime)) {
		return time.Time{}, false, invalid(key, "by")
	}
	return fromUnixMillis(r.By), r.Emptied, err
}
