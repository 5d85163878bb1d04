package poolstore

// EncodeHome returns the value of HomeKey: by pool, the number of machines that
// belong to it.
func EncodeHome(home map[string]int) ([]byte, error) { return encode(home) }

// DecodeHome decodes the value of HomeKey. It returns Internal when the value cannot
// be decoded or a number is out of bounds.
func DecodeHome(key string, value []byte) (map[string]int, error) {
	var home map[string]int
	if err := decode(key, value, &home); err != nil {
		return nil, err
	}
	for _, n := range home {
		if n < 0 || n > maxMachines {
			return nil, invalid(key, "number of machines")
		}
	}
	return home, nil
}
