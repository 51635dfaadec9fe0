package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// format is the output format.
type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
)

// String implements flag.Value.
func (f *format) String() string { return string(*f) }

// Set implements flag.Value.
func (f *format) Set(text string) error {
	switch format(text) {
	case formatTable, formatJSON:
		*f = format(text)
		return nil
	}
	return errors.New("must be table or json")
}

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// printOutcome prints an outcome and returns its exit code. If the output cannot
// be written, it returns ExitFailed instead of ExitOK.
func printOutcome(env Environment, outputFormat format, out Outcome) ExitCode {
	err := writeResult(env.Out, outputFormat, out)
	if out.Message != "" && (outputFormat == formatTable || out.JSON == nil) {
		fmt.Fprintln(env.Err, out.Message)
	}
	if err != nil && out.Exit == ExitOK {
		fmt.Fprintln(env.Err, "failed to write the output:", err)
		return ExitFailed
	}
	return out.Exit
}

func writeResult(w io.Writer, outputFormat format, out Outcome) error {
	if outputFormat == formatJSON {
		return writeJSON(w, out.JSON)
	}
	if _, err := io.WriteString(w, out.Text); err != nil {
		return errors.WithStack(err)
	}
	for _, t := range out.Tables {
		if err := writeTable(w, t); err != nil {
			return err
		}
	}
	return nil
}

func writeTable(w io.Writer, t Table) error {
	tab := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(tab, strings.Join(t.Header, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(tab, strings.Join(row, "\t"))
	}
	return errors.WithStack(tab.Flush())
}

func writeJSON(w io.Writer, value any) error {
	if value == nil {
		return nil
	}
	data, err := marshal(value)
	if err != nil {
		return err
	}
	// protojson randomizes its white space on purpose; indenting makes it stable.
	var b bytes.Buffer
	if err := json.Indent(&b, data, "", "  "); err != nil {
		return errors.WithStack(err)
	}
	b.WriteByte('\n')
	_, err = b.WriteTo(w)
	return errors.WithStack(err)
}

func marshal(value any) ([]byte, error) {
	if m, ok := value.(proto.Message); ok {
		data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
		return data, errors.WithStack(err)
	}
	data, err := json.Marshal(value)
	return data, errors.WithStack(err)
}
