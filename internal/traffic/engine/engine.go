// Package engine is the client of model engines and plain services.
//
// Protocol over HTTP:
//
//	POST /v1/generate          JSON in; newline-delimited JSON out
//	POST /v1/call/{operation}  bytes in and out, the key in the Request-Key header
//	GET  /v1/load              JSON out
//
// A refusal states what happened in the Refusal header: "not_run" or
// "prompt_too_long". Closing the connection of a generate call cancels the run.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/traffic/sendtrack"
)

const (
	// MaxRequestBytes bounds a generate request and the body of a call.
	MaxRequestBytes = 2 << 20
	// maxAnswerBytes bounds the answer of a call.
	maxAnswerBytes = 1 << 20
	// maxLoadBytes bounds a load report.
	maxLoadBytes = 64 << 10

	refusalHeader = "Refusal"
	// The standard Idempotency-Key header is not used: the transport of
	// net/http sends a POST that carries it again after a lost connection.
	keyHeader = "Request-Key"
)

// Options configures a Client. The zero value is usable.
type Options struct {
	// HTTP is the client to use; redirects are never followed.
	HTTP *http.Client
}

// Client calls one engine or service. It is safe for concurrent use and never
// repeats a run. The caller's context bounds each call.
type Client struct {
	base string
	http http.Client
}

// New returns a client of the engine or service at baseURL.
func New(baseURL string, opts Options) *Client {
	c := &Client{base: strings.TrimSuffix(baseURL, "/")}
	if opts.HTTP != nil {
		c.http = *opts.HTTP
	}
	// A followed redirect would run the work twice.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// GenerateRequest is one attempt of a generation.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	Prompt    string `json:"prompt"`
	// Prefix is answer text already delivered; the engine continues behind it.
	Prefix string `json:"prefix,omitempty"`
	// MaxTotalTokens limits prompt, prefix and output together.
	MaxTotalTokens int64 `json:"max_total_tokens"`
	// MaxOutputTokens limits prefix and output together, so that an attempt
	// that continues another one ends at the same place.
	MaxOutputTokens int64  `json:"max_output_tokens"`
	Priority        int    `json:"priority"`
	Fence           uint64 `json:"fence"`
}

// Generate starts a run. The stream holds a connection until it has ended,
// was closed or ctx was cancelled; the latter two cancel the run.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, failure(ErrNotRun, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.post(ctx, "/v1/generate", "", "application/json", body)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := generateRefusal(resp); err != nil {
		cancel()
		resp.Body.Close()
		return nil, err
	}
	return newStream(ctx, cancel, resp.Body, req.MaxOutputTokens), nil
}

// CallRequest is one call of a plain service.
type CallRequest struct {
	Operation string
	// Key identifies the call for the service.
	Key  string
	Body []byte
}

// CallResponse is a whole answer of a service.
type CallResponse struct {
	Body []byte
	// Status is the HTTP status. An answer with an error status is an answer:
	// the call may have run.
	Status int
}

// Call runs an operation of a plain service.
func (c *Client) Call(ctx context.Context, req CallRequest) (CallResponse, error) {
	if req.Operation == "" || req.Operation == "." || req.Operation == ".." {
		return CallResponse{}, failure(ErrNotRun, errors.Errorf("%q is no operation name", req.Operation))
	}
	resp, err := c.post(ctx, "/v1/call/"+url.PathEscape(req.Operation), req.Key, "application/octet-stream", req.Body)
	if err != nil {
		return CallResponse{}, err
	}
	defer resp.Body.Close()
	if err := callRefusal(resp); err != nil {
		return CallResponse{}, err
	}
	body, err := readBounded(resp.Body, maxAnswerBytes)
	if err != nil {
		return CallResponse{}, failure(ErrTruncated, breakCause(ctx, err))
	}
	return CallResponse{Body: body, Status: resp.StatusCode}, nil
}

// Load is a load report. It describes the state Age ago.
type Load struct {
	Active, Queued int
	// PendingTokens is the number of tokens still to be produced.
	PendingTokens int64
	Age           time.Duration
}

// Load reads the load report. The caller's ctx bounds the call.
func (c *Client) Load(ctx context.Context) (Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/load", nil)
	if err != nil {
		return Load{}, failure(ErrDown, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Load{}, failure(ErrDown, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Load{}, failure(ErrDown, errors.Errorf("status %d", resp.StatusCode))
	}
	data, err := readBounded(resp.Body, maxLoadBytes)
	if err != nil {
		return Load{}, failure(ErrDown, err)
	}
	var report struct {
		Active        int   `json:"active"`
		Queued        int   `json:"queued"`
		PendingTokens int64 `json:"pending_tokens"`
		AgeMillis     int64 `json:"age_ms"`
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return Load{}, failure(ErrDown, err)
	}
	if report.Active < 0 || report.Queued < 0 || report.PendingTokens < 0 || report.AgeMillis < 0 {
		return Load{}, failure(ErrDown, errors.New("a number of the load report is negative"))
	}
	return Load{
		Active:        report.Active,
		Queued:        report.Queued,
		PendingTokens: report.PendingTokens,
		Age:           time.Duration(report.AgeMillis) * time.Millisecond,
	}, nil
}

// post sends one request that may run work and classifies a lost answer.
func (c *Client) post(ctx context.Context, path, key, contentType string, body []byte) (*http.Response, error) {
	if len(body) > MaxRequestBytes {
		return nil, failure(ErrNotRun, errors.Errorf("the request has %d bytes, the limit is %d", len(body), MaxRequestBytes))
	}
	ctx, sent := sendtrack.Track(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure(ErrNotRun, err)
	}
	req.Header.Set("Content-Type", contentType)
	if key != "" {
		// A header loses spaces at the ends and refuses control characters.
		req.Header.Set(keyHeader, url.QueryEscape(key))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unanswered(ctx, sent, err)
	}
	return resp, nil
}

// readBounded reads all of r, or fails if it has over limit bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.WithMessagef(errTooLong, "limit %d bytes", limit)
	}
	return data, nil
}
