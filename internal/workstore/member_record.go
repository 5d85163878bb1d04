package workstore

// memberRecord is an entry that is alive, as kept.
type memberRecord struct {
	PeerAddress string `cbor:"1,keyasint,omitempty"`
}

// EncodeMember returns the value of the key of an entry that is alive.
func EncodeMember(peerAddress string) ([]byte, error) {
	return encode(memberRecord{PeerAddress: peerAddress})
}

// DecodeMember reads the value of the key of an entry that is alive.
func DecodeMember(key string, value []byte) (peerAddress string, err error) {
	var r memberRecord
	err = decode(key, value, &r)
	return r.PeerAddress, err
}
