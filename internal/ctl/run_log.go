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
	// maxLogLineBytes bounds the length of a log line.
	maxLogLineBytes = 1 << 20
	// maxLogFiles bounds the number of files per run; there is one per process.
	maxLogFiles = 1000
)

// logEntry is a log line about a request, with the name of its file.
type logEntry struct {
	File    string         `json:"file"`
	Time    time.Time      `json:"time"`
	System  string         `json:"system"`
	Message string         `json:"message"`
	Inputs  map[string]any `json:"inputs,omitempty"`
}

// runLog traces a request through the log files of several processes.
func runLog(_ context.Context, _ *invocation, _ *commandFlags, args []string) Outcome {
	var entries []logEntry
	for _, file := range args[1:] {
		f, err := os.Open(file)
		if err != nil {
			return failure(errors.WithStack(err))
		}
		fileEntries, err := readLogEntries(f, filepath.Base(file), args[0])
		f.Close()
		if err != nil {
			return failure(errors.Wrap(err, file))
		}
		entries = append(entries, fileEntries...)
	}
	return reportLog(args[0], entries)
}

// readLogEntries returns the log lines about a request. It skips lines that are
// not JSON, because a log may begin or end in the middle of a line.
func readLogEntries(r io.Reader, file, request string) ([]logEntry, error) {
	var entries []logEntry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		var entry struct {
			logEntry
			Request string `json:"request"`
		}
		if json.Unmarshal(scanner.Bytes(), &entry) != nil || entry.Request != request {
			continue
		}
		entry.File = file
		entries = append(entries, entry.logEntry)
	}
	return entries, errors.WithStack(scanner.Err())
}

// reportLog reports the log lines in order of time.
func reportLog(request string, entries []logEntry) Outcome {
	if len(entries) == 0 {
		return Outcome{Exit: ExitFailed, Message: "no log lines found for request " + request}
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return a.Time.Compare(b.Time) })
	t := Table{Header: []string{"TIME", "PROCESS", "SYSTEM", "DECISION", "INPUTS"}}
	for _, entry := range entries {
		t.Rows = append(t.Rows, []string{entry.Time.Format("15:04:05.000000"), entry.File, entry.System, entry.Message, formatLogInputs(entry.Inputs)})
	}
	return Outcome{Tables: []Table{t}, JSON: entries}
}

// formatLogInputs lists the string inputs of a decision, sorted by name.
func formatLogInputs(inputs map[string]any) string {
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
