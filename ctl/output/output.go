// Package output writes results as a table or as JSON.
package output

import (
	"bytes"
	"encoding/json"
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
	return WriteJSON(p.Writer, protojson.MarshalOptions{EmitUnpopulated: true}, message)
}

// WriteJSON writes a message as indented JSON. The spaces of protojson itself differ from build to build.
func WriteJSON(w io.Writer, options protojson.MarshalOptions, message proto.Message) error {
	data, err := options.Marshal(message)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, indented.String())
	return err
}
