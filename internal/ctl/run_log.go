package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLogLine bounds one line of a log.
	maxLogLine = 1 << 20
	// maxLogFiles bounds the files of one call, one for each process.
	maxLogFiles = 1000
)

// logLine is one line about a request, with the file that it stands in.
type logLine struct {
	File    string         `json:"file"`
	Time    time.Time      `json:"time"`
	System  string         `json:"system"`
	Message string         `json:"message"`
	Inputs  map[string]any `json:"inputs,omitempty"`
}

// runLog follows one request over the log files of several processes.
func runLog(_ context.Context, _ *session, _ *inputs, args []string) Outcome {
	var lines []logLine
	for _, file := range args[1:] {
		f, err := os.Open(file)
		if err != nil {
			return failed(errors.WithStack(err))
		}
		found, err := readLog(f, filepath.Base(file), args[0])
		f.Close()
		if err != nil {
			return failed(errors.Wrap(err, file))
		}
		lines = append(lines, found...)
	}
	return reportLog(args[0], lines)
}

// readLog returns the lines about a request. Lines that are not JSON are passed
// over: a log may begin or end within one.
func readLog(r io.Reader, file, request string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var line struct {
			logLine
			Request string `json:"request"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Request != request {
			continue
		}
		line.File = file
		lines = append(lines, line.logLine)
	}
	return lines, errors.WithStack(scanner.Err())
}

// reportLog prints the lines in order of time.
func reportLog(request string, lines []logLine) Outcome {
	if len(lines) == 0 {
		return Outcome{Exit: ExitFailed, Message: "no line about request " + request}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	t := Table{Header: []string{"TIME", "PROCESS", "SYSTEM", "DECISION", "INPUTS"}}
	for _, l := range lines {
		t.Rows = append(t.Rows, []string{l.Time.Format("15:04:05.000000"), l.File, l.System, l.Message, inputText(l.Inputs)})
	}
	return Outcome{Tables: []Table{t}, JSON: lines}
}

// inputText lists the inputs of a decision by name.
func inputText(inputs map[string]any) string {
	parts := make([]string, 0, len(inputs))
	for name, value := range inputs {
		text, ok := value.(string)
		if !ok {
			continue
		}
		parts = append(parts, name+"="+text)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
