package gateway

import (
	"io"
	"log"
	"strings"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logBufferLines is the number of lines that are buffered for the output; further
// lines are dropped.
const logBufferLines = 4096

// NewLog returns a logger that never blocks the process: when the output is too
// slow, lines are dropped and their number is logged. The returned function
// flushes the buffered lines and closes the logger.
func NewLog(out io.Writer) (zerolog.Logger, func() error) {
	w := diode.NewWriter(out, logBufferLines, 0, func(dropped int) {
		directLog := zerolog.New(out).With().Timestamp().Logger()
		directLog.Warn().Int("lines", dropped).Msg("dropped log lines")
	})
	return zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Logger(), w.Close
}

// newHTTPErrorLog logs the errors of an HTTP server at debug level. They come from
// clients that disconnected or sent malformed requests.
func newHTTPErrorLog(l zerolog.Logger) *log.Logger { return log.New(httpErrorWriter{l}, "", 0) }

type httpErrorWriter struct{ log zerolog.Logger }

func (h httpErrorWriter) Write(p []byte) (int, error) {
	h.log.Debug().Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}
