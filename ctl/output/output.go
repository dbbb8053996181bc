// Package output writes results as a table or as JSON.
package output

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Formats of a result.
const (
	FormatTable = "table"
	FormatJSON  = "json"
)

// Printer writes results in one format.
type Printer struct {
	Writer io.Writer
	Format string
}

// Check refuses an unknown format.
func (p *Printer) Check() error {
	if p.Format != FormatTable && p.Format != FormatJSON {
		return fmt.Errorf("unknown output format %q: use %s or %s", p.Format, FormatTable, FormatJSON)
	}
	return nil
}

// Print writes the message as JSON, or the rows below the header as a table.
func (p *Printer) Print(message proto.Message, header []string, rows [][]string) error {
	if p.Format == FormatJSON {
		return p.json(message)
	}
	t := tabwriter.NewWriter(p.Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

func (p *Printer) json(message proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(p.Writer, string(data))
	return err
}
