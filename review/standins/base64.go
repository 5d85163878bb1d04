package main

import "encoding/base64"

func base64Of(data []byte) string { return base64.StdEncoding.EncodeToString(data) }
