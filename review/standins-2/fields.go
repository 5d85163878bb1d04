package main

// fields gives typed access to an object: the zero value if a field is missing or of another
// type.
type fields object

func (f fields) text(key string) string { s, _ := f[key].(string); return s }

func (f fields) number(key string) int64 { n, _ := f[key].(int64); return n }

func (f fields) rows(key string) []any { l, _ := f[key].(list); return l }
