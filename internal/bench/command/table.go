package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table prints aligned columns.
type table struct{ writer *tabwriter.Writer }

const columnPadding = 2

func newTable(output io.Writer, header ...string) *table {
	t := &table{writer: tabwriter.NewWriter(output, 0, 0, columnPadding, ' ', 0)}
	_, _ = fmt.Fprintln(t.writer, strings.Join(header, "\t"))
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t *table) flush() { _ = t.writer.Flush() }
