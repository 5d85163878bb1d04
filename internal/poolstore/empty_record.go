package poolstore

import "time"

// emptyRecord is the stored form of the request to empty a machine.
type emptyRecord struct {
	By      int64 `cbor:"1,keyasint"` // Unix time in milliseconds
	Emptied bool  `cbor:"2,keyasint,omitempty"`
}

// EncodeEmpty returns the value of the key of a machine that is to be emptied by the
// given time, or has been emptied.
func EncodeEmpty(by time.Time, emptied bool) ([]byte, error) {
	return encode(emptyRecord{By: unixMillis(by), Emptied: emptied})
}

// DecodeEmpty decodes the value of the key of a machine that is to be emptied. It
// returns Internal when the value cannot be decoded or the time is out of bounds.
func DecodeEmpty(key string, value []byte) (by time.Time, emptied bool, err error) {
	var r emptyRecord
	err = decode(key, value, &r)
	if by := fromUnixMillis(r.By); err == nil && (r.By <= 0 || by.After(lastTime)) {
		return time.Time{}, false, invalid(key, "by")
	}
	return fromUnixMillis(r.By), r.Emptied, err
}
