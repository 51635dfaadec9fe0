// Package whereapi answers over HTTP where a request would go that is not sent. It belongs on
// a port that only operators reach: an answer shows what is known of a customer.
package whereapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/traffic/pending"
)

const (
	// maxRequestBytes bounds the body of a query.
	maxRequestBytes = 64 << 10
	// replyTimeout bounds the wait for the control thread, ioTimeout the time in which the
	// client sends the body and reads the answer.
	replyTimeout = 2 * time.Second
	ioTimeout    = 5 * time.Second
	// maxWaiting is the number of queries that wait for the control thread at a time.
	maxWaiting = 16
)

// Server answers queries.
type Server struct {
	// Post sends an event to the control thread.
	Post func(event.Event)
	// Replies passes the answers of the control thread to the handlers.
	Replies pending.Replies[command.WhereReply]
	waiting chan struct{}
}

// New returns a server.
func New(post func(event.Event)) *Server {
	return &Server{Post: post, waiting: make(chan struct{}, maxWaiting)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	deadline := time.Now().Add(ioTimeout)
	rc := http.NewResponseController(w)
	// Connections without deadlines, as in tests, serve as well.
	_, _ = rc.SetReadDeadline(deadline), rc.SetWriteDeadline(deadline)
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{"too many queries at a time"})
		return
	}
	request, err := readRequest(w, r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{err.Error()})
		return
	}
	query, err := request.query()
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), replyTimeout)
	defer cancel()
	reply, err := s.Replies.Await(ctx, func(replyID uint64) {
		query.ReplyID = replyID
		s.Post(query)
	})
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{"the router did not answer in time; it is overloaded or shuts down"})
		return
	}
	if reply.Problem != command.WhereAnswered {
		writeJSON(w, statusOf(reply.Problem), ErrorResponse{reply.ProblemReason})
		return
	}
	writeJSON(w, http.StatusOK, responseOf(&reply))
}

func readRequest(w http.ResponseWriter, r *http.Request) (*Request, error) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	var request Request
	if err := decoder.Decode(&request); err != nil {
		return nil, errors.Wrap(err, "the query is not valid")
	}
	return &request, nil
}

func statusOf(p command.WhereProblem) int {
	switch p {
	case command.WhereUnknown:
		return http.StatusNotFound
	case command.WhereShuttingDown:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		// A number is not finite.
		http.Error(w, `{"error":"the answer can't be encoded"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client disconnected.
	_, _ = w.Write(append(data, '\n'))
}
