package main

// list is a CBOR array.
type list = []any
