package poolstore

// memberRecord is an entry that is alive, as stored.
type memberRecord struct {
	PeerAddress string  `cbor:"1,keyasint,omitempty"`
	Weight      float64 `cbor:"2,keyasint,omitempty"`
}

// EncodeMember returns the value of the key of an entry that is alive. weight is
// what it can carry, in cores.
func EncodeMember(peerAddress string, weight float64) ([]byte, error) {
	return encode(memberRecord{PeerAddress: peerAddress, Weight: weight})
}

// DecodeMember reads the value of the key of an entry that is alive.
func DecodeMember(key string, value []byte) (peerAddress string, weight float64, err error) {
	var r memberRecord
	err = decode(key, value, &r)
	if err == nil && !(r.Weight >= 0 && r.Weight <= maxWeight) { // nor is it a number otherwise
		return r.PeerAddress, 0, invalid(key, "weight")
	}
	return r.PeerAddress, r.Weight, err
}
