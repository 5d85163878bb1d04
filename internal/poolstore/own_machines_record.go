package poolstore

// EncodeOwnMachines returns the value of OwnMachinesKey: by pool, the number of
// machines that belong to it.
func EncodeOwnMachines(own map[string]int) ([]byte, error) { return encode(own) }

// DecodeOwnMachines decodes the value of OwnMachinesKey. It returns Internal when
// the value cannot be decoded or a number is out of bounds.
func DecodeOwnMachines(key string, value []byte) (map[string]int, error) {
	var own map[string]int
	if err := decode(key, value, &own); err != nil {
		return nil, err
	}
	for _, n := range own {
		if n < 0 || n > maxMachines {
			return nil, invalid(key, "number of machines")
		}
	}
	return own, nil
}
