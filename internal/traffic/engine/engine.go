// Package engine implements the client of model engines and plain services.
//
// The protocol is HTTP:
//
//	POST /v1/generate          JSON in; newline-delimited JSON out
//	POST /v1/call/{operation}  bytes in and out, the key in the Request-Key header
//	GET  /v1/load              JSON out
//
// A server that rejects a request without running it says why in the Refusal header: "not_run" or
// "prompt_too_long". Closing the connection of a generate call cancels the run.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/traffic/sendtrack"
	"laburnumroad.dev/laburnumroad/internal/traffic/tcp"
)

const (
	// MaxRequestBytes limits the size of a generate request and of the body of a call.
	MaxRequestBytes = 2 << 20
	// maxResponseBytes limits the size of the response to a call.
	maxResponseBytes = 1 << 20
	// maxLoadReportBytes limits the size of a load report.
	maxLoadReportBytes = 64 << 10

	refusalHeader = "Refusal"
	// requestKeyHeader is used instead of the standard Idempotency-Key, because the transport of
	// net/http resends a POST request with that header when the connection is lost.
	requestKeyHeader = "Request-Key"
)

// Options configures a Client. The zero value is usable.
type Options struct {
	// HTTPClient is the underlying client. Its redirect policy is replaced: redirects aren't
	// followed.
	HTTPClient *http.Client
}

// transport detects connections that are reset while a request is written: without it, a part
// of an answer that has no length could look complete.
var transport = func() http.RoundTripper {
	t := http.DefaultTransport.(*http.Transport).Clone()
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return tcp.DetectResets(c), nil
	}
	return t
}()

// Client calls one engine or service. It is safe for concurrent use and never repeats a request
// that may run work. A call has no time limit other than its context's.
type Client struct {
	baseURL string
	http    http.Client
}

// New returns a client for the engine or service at baseURL.
func New(baseURL string, opts Options) *Client {
	c := &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: http.Client{Transport: transport}}
	if opts.HTTPClient != nil {
		c.http = *opts.HTTPClient
	}
	// Following a redirect could run the request twice.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// GenerateRequest is one attempt of a generation.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	Prompt    string `json:"prompt"`
	// Prefix is the text delivered by earlier attempts. The engine continues after it.
	Prefix string `json:"prefix,omitempty"`
	// MaxTotalTokens limits the sum of prompt, prefix and output.
	MaxTotalTokens int64 `json:"max_total_tokens"`
	// MaxOutputTokens limits the sum of prefix and output, so that an attempt that continues
	// another one ends at the same position.
	MaxOutputTokens int64  `json:"max_output_tokens"`
	Priority        int    `json:"priority"`
	FencingToken    uint64 `json:"fence"`
}

// Generate starts a run. The stream occupies a connection until it ends, is closed or ctx is
// cancelled. Closing it early or cancelling ctx cancels the run.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, wrapError(ErrNotRun, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.post(ctx, "/v1/generate", "", "application/json", body)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := checkGenerateResponse(resp); err != nil {
		cancel()
		resp.Body.Close()
		return nil, err
	}
	return newStream(ctx, cancel, resp.Body, req.MaxOutputTokens), nil
}

// CallRequest is one call of a plain service.
type CallRequest struct {
	Operation string
	// Key identifies the call to the service, which can use it to detect repeated calls.
	Key  string
	Body []byte
}

// CallResponse is the complete response of a service.
type CallResponse struct {
	Body []byte
	// Status is the HTTP status code, from 200 on. Error statuses other than 502, 503 and 504
	// are returned here and not as an error: they are the service's response, and the call may
	// have run.
	Status int
}

// Call runs an operation of a plain service.
func (c *Client) Call(ctx context.Context, req CallRequest) (CallResponse, error) {
	if req.Operation == "" || req.Operation == "." || req.Operation == ".." {
		return CallResponse{}, wrapError(ErrNotRun, errors.Errorf("invalid operation name %q", req.Operation))
	}
	resp, err := c.post(ctx, "/v1/call/"+url.PathEscape(req.Operation), req.Key, "application/octet-stream", req.Body)
	if err != nil {
		return CallResponse{}, err
	}
	defer resp.Body.Close()
	if err := checkCallResponse(resp); err != nil {
		return CallResponse{}, err
	}
	body, err := readLimited(resp.Body, maxResponseBytes)
	if err != nil {
		return CallResponse{}, wrapError(ErrTruncated, readErrorCause(ctx, err))
	}
	return CallResponse{Body: body, Status: resp.StatusCode}, nil
}

// Load is the load report of an engine. It was measured Age before the response.
type Load struct {
	Active, Queued int
	// PendingTokens is the number of tokens that active and queued runs have yet to generate.
	PendingTokens int64
	Age           time.Duration
}

// Load requests the load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/load", nil)
	if err != nil {
		return Load{}, wrapError(ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Load{}, wrapError(ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Load{}, wrapError(ErrUnavailable, errors.Errorf("status %d", resp.StatusCode))
	}
	data, err := readLimited(resp.Body, maxLoadReportBytes)
	if err != nil {
		return Load{}, wrapError(ErrUnavailable, err)
	}
	var report struct {
		Active        int   `json:"active"`
		Queued        int   `json:"queued"`
		PendingTokens int64 `json:"pending_tokens"`
		AgeMillis     int64 `json:"age_ms"`
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return Load{}, wrapError(ErrUnavailable, err)
	}
	if report.Active < 0 || report.Queued < 0 || report.PendingTokens < 0 || report.AgeMillis < 0 {
		return Load{}, wrapError(ErrUnavailable, errors.New("load report contains a negative number"))
	}
	return Load{
		Active:        report.Active,
		Queued:        report.Queued,
		PendingTokens: report.PendingTokens,
		Age:           time.Duration(report.AgeMillis) * time.Millisecond,
	}, nil
}

// post sends a request that may run work. If no response arrives, the error says whether the work
// may have run.
func (c *Client) post(ctx context.Context, path, key, contentType string, body []byte) (*http.Response, error) {
	if len(body) > MaxRequestBytes {
		return nil, wrapError(ErrNotRun, errors.Errorf("request has %d bytes, limit is %d", len(body), MaxRequestBytes))
	}
	ctx, tracker := sendtrack.Track(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, wrapError(ErrNotRun, err)
	}
	req.Header.Set("Content-Type", contentType)
	if key != "" {
		// Escaped, because header values can't contain control characters and lose leading and
		// trailing spaces.
		req.Header.Set(requestKeyHeader, url.QueryEscape(key))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, classifyRequestError(ctx, tracker, err)
	}
	return resp, nil
}

// readLimited reads r to its end. It returns errResponseTooLarge if r has more than limit bytes.
func readLimited(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.WithMessagef(errResponseTooLarge, "limit %d bytes", limit)
	}
	return data, nil
}
