package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// tableGap is the number of spaces between two columns.
const tableGap = 2

// show prints value as JSON, or header and rows as a table, depending on the
// -output flag.
func (f *operatorFlags) show(c console, value any, header string, rows []string) error {
	if f.output == "json" {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, tableGap, ' ', 0)
	fmt.Fprintln(w, header)
	for _, r := range rows {
		fmt.Fprintln(w, r)
	}
	return w.Flush()
}

// row joins the cells of a table row with tabs.
func row(cells ...any) string {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	return strings.Join(texts, "\t")
}
