package poolstore

import "persimmonbay/internal/upkeep"

// emptyRequestRecord is the stored form of an upkeep.EmptyRequest.
type emptyRequestRecord struct {
	By      int64  `cbor:"1,keyasint"` // Unix time in milliseconds
	Emptied bool   `cbor:"2,keyasint,omitempty"`
	Pool    string `cbor:"3,keyasint,omitempty"`
	Worker  string `cbor:"4,keyasint,omitempty"`
}

// EncodeEmptyRequest returns the value of the key of a machine that is to be emptied, or
// has been emptied.
func EncodeEmptyRequest(r *upkeep.EmptyRequest) ([]byte, error) {
	return encode(emptyRequestRecord{By: unixMillis(r.By), Emptied: r.Emptied, Pool: r.Pool, Worker: r.Worker})
}

// DecodeEmptyRequest decodes the value of the key of a machine that is to be
// emptied. It returns Internal when the value cannot be decoded or the time is out
// of bounds. A request of a version that named no pool and no worker has neither.
func DecodeEmptyRequest(key string, value []byte) (upkeep.EmptyRequest, error) {
	var r emptyRequestRecord
	if err := decode(key, value, &r); err != nil {
		return upkeep.EmptyRequest{}, err
	}
	by := fromUnixMillis(r.By)
	if r.By <= 0 || by.After(lastTime) {
		return upkeep.EmptyRequest{}, invalid(key, "by")
	}
	return upkeep.EmptyRequest{Pool: r.Pool, Worker: r.Worker, By: by, Emptied: r.Emptied}, nil
}
