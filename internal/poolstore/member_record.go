package poolstore

// memberRecord is the stored form of a running entry's registration.
type memberRecord struct {
	PeerAddress string  `cbor:"1,keyasint,omitempty"`
	Weight      float64 `cbor:"2,keyasint,omitempty"`
}

// EncodeMember returns the value of the key of a running entry. weight is the
// entry's capacity, in cores.
func EncodeMember(peerAddress string, weight float64) ([]byte, error) {
	return encode(memberRecord{PeerAddress: peerAddress, Weight: weight})
}

// DecodeMember decodes the value of the key of a running entry. It returns Internal
// when the value cannot be decoded or the weight is out of bounds; in the second
// case the address is valid.
func DecodeMember(key string, value []byte) (peerAddress string, weight float64, err error) {
	var r memberRecord
	err = decode(key, value, &r)
	if err == nil && !(r.Weight >= 0 && r.Weight <= maxWeight) { // also true for NaN
		return r.PeerAddress, 0, invalid(key, "weight")
	}
	return r.PeerAddress, r.Weight, err
}
