package main

// object is a CBOR map with text keys.
type object = map[string]any
