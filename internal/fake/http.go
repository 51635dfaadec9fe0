package fake

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBodyBytes bounds a request body, which holds a 1 MB value in base64 or a
// prompt.
const maxBodyBytes = 2 << 20

// readBody reads a request body of limited size to its end, because the HTTP server
// detects a disconnected client only after the body has been read. If it fails, it
// sends an error response.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		rejectBadRequest(w)
		return nil, false
	}
	return data, true
}

// readJSON decodes a request body of limited size. If it fails, it sends an error
// response.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	data, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(data, target); err != nil {
		rejectBadRequest(w)
		return false
	}
	return true
}

// rejectBadRequest sends a response that means "not executed" in the protocols of
// all three fakes.
func rejectBadRequest(w http.ResponseWriter) {
	w.Header().Set("Refusal", "not_run")
	writeJSON(w, http.StatusBadRequest, errorBody{Error: "the body cannot be read"})
}

// adminSetter returns a handler that decodes a setting, applies it and returns it in
// the response.
func adminSetter[F any](apply func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var setting F
		if readJSON(w, r, &setting) {
			apply(setting)
			writeJSON(w, http.StatusOK, setting)
		}
	}
}

type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// dropConnection aborts a request without a response. It does not return.
func dropConnection() { panic(http.ErrAbortHandler) }
