package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"
)

// outputFlags selects the format of a command's output.
type outputFlags struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

// adminFlags selects the node that a command queries.
type adminFlags struct {
	Admin string `long:"admin" value-name:"IP:PORT" default:"127.0.0.1:7900" description:"operators' HTTP of the node to ask (its admin.listen)"`
}

// print writes value as JSON, or calls text to write it as text.
func (o outputFlags) print(out io.Writer, value any, text func(out io.Writer)) error {
	if o.Output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(out)
	return nil
}

// table writes rows in aligned columns. Empty cells are shown as "-".
type table struct{ writer *tabwriter.Writer }

const columnPadding = 2

func newTable(out io.Writer, columns ...string) *table {
	t := &table{writer: tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)}
	_, _ = fmt.Fprintln(t.writer, strings.Join(columns, "\t"))
	return t
}

func (t *table) row(cells ...string) {
	shown := make([]string, len(cells))
	for i, cell := range cells {
		if shown[i] = printable(cell); cell == "" {
			shown[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(shown, "\t"))
}

// printable returns a text, quoted if it has characters that would garble the terminal or a table. Names of
// a configuration are arbitrary.
func printable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

func (t *table) flush() { _ = t.writer.Flush() }
