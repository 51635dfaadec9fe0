package fake

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBodyBytes bounds a request body: a 1 MB value in base64, or a prompt.
const maxBodyBytes = 2 << 20

// readBody reads a bounded body to its end. The HTTP server reports a client
// that left only after the body was read.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuseBadRequest(w)
		return nil, false
	}
	return data, true
}

// readJSON decodes a bounded body, or answers with a refusal.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	data, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(data, into); err != nil {
		refuseBadRequest(w)
		return false
	}
	return true
}

// refuseBadRequest states that nothing ran, in the terms of all three APIs.
func refuseBadRequest(w http.ResponseWriter) {
	w.Header().Set("Refusal", "not_run")
	writeJSON(w, http.StatusBadRequest, refusalBody{Error: "the body cannot be read"})
}

// adminPost returns a handler that decodes a setting, passes it to set and
// echoes it.
func adminPost[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if readJSON(w, r, &f) {
			set(f)
			writeJSON(w, http.StatusOK, f)
		}
	}
}

type refusalBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client left; nobody reads an answer then.
	_ = json.NewEncoder(w).Encode(v)
}

// dropConnection ends a request without an answer.
func dropConnection() { panic(http.ErrAbortHandler) }
