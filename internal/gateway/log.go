package gateway

import (
	"io"
	"log"
	"strings"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logBuffer is how many lines may wait to be written; more are dropped.
const logBuffer = 4096

// NewLog returns a logger that never blocks the process: lines that the output
// does not take in time are dropped, and their number is logged. The returned
// function writes what still waits.
func NewLog(out io.Writer) (zerolog.Logger, func() error) {
	w := diode.NewWriter(out, logBuffer, 0, func(missed int) {
		direct := zerolog.New(out).With().Timestamp().Logger()
		direct.Warn().Int("lines", missed).Msg("log lines dropped")
	})
	return zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Logger(), w.Close
}

// newHTTPLog passes the messages of an HTTP server on. They tell of clients that
// broke off or sent something that is not HTTP.
func newHTTPLog(l zerolog.Logger) *log.Logger { return log.New(httpLog{l}, "", 0) }

type httpLog struct{ log zerolog.Logger }

func (h httpLog) Write(p []byte) (int, error) {
	h.log.Debug().Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}
