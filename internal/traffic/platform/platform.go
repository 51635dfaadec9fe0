// Package platform is the client of the platform's object API and of its
// membership list.
//
// Protocol, JSON over HTTP with values in base64:
//
//	GET    /v1/objects/{kind}/{name}                    one object
//	PUT    /v1/objects/{kind}/{name}?create=true        create if absent
//	PUT    /v1/objects/{kind}/{name}?version=V          conditional update
//	DELETE /v1/objects/{kind}/{name}?version=V          conditional delete
//	GET    /v1/objects/{kind}?after=NAME                one page, in order of names
//	GET    /v1/watch/{kind}?since=REVISION&wait_ms=N    long poll
//	GET    /v1/members                                  live and leaving hosts
//
// A refusal carries {"code": "not_found" | "conflict" | "not_applied"}. The
// version of an object is the global revision of its last write.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/traffic/sendtrack"
)

const (
	// MaxValueBytes is the platform's limit for the value of an object.
	MaxValueBytes = 1_000_000
	// maxAnswerBytes bounds one answer. The platform ends a page or a watch
	// answer before 4 MB of values; base64 adds a third.
	maxAnswerBytes = 8 << 20
	// maxPages bounds the pages of one List, in case a server repeats a page.
	maxPages = 10_000

	defaultTimeout = 5 * time.Second
)

// Object is one stored object.
type Object struct {
	Kind, Name string
	// Version is the revision of the last write.
	Version uint64
	// Value is nil only for a deleted object, which only Watch reports.
	Value []byte
}

// Deleted reports whether the object was removed at its Version.
func (o Object) Deleted() bool { return o.Value == nil }

// Member is one host of the platform's membership list, which lags.
type Member struct {
	// Host is the id of the process on the host.
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
}

// Options configures a Client. The zero value is usable.
type Options struct {
	// Timeout bounds one call; a watch may take its wait on top.
	Timeout time.Duration
	// HTTP is the client to use; redirects are never followed.
	HTTP *http.Client
}

// Client calls the object API. It is safe for concurrent use and never repeats
// a write.
type Client struct {
	base    string
	timeout time.Duration
	http    http.Client
}

// New returns a client of the API at baseURL.
func New(baseURL string, opts Options) *Client {
	c := &Client{base: strings.TrimSuffix(baseURL, "/"), timeout: opts.Timeout}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if opts.HTTP != nil {
		c.http = *opts.HTTP
	}
	// A followed redirect would send a write twice.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// wireObject is an object as the API sends it.
type wireObject struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted"`
}

func (o wireObject) object() Object {
	out := Object{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}
	switch {
	case o.Deleted:
		out.Value = nil
	case out.Value == nil:
		out.Value = []byte{}
	}
	return out
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var answer wireObject
	path, err := objectPath(kind, name)
	if err != nil {
		return Object{}, err
	}
	if err := c.call(ctx, http.MethodGet, path, nil, 0, &answer); err != nil {
		return Object{}, err
	}
	if answer.Kind != kind || answer.Name != name {
		return Object{}, failure(ErrUnknown, errors.New("the answer belongs to another object"))
	}
	return answer.object(), nil
}

// Create stores an object if no object of the name exists, else it returns
// ErrConflict. It returns the version of the object.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	return c.put(ctx, kind, name, url.Values{"create": {"true"}}, value)
}

// Update replaces the value of an object whose version is still the given one,
// else it returns ErrConflict. It returns the new version.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	return c.put(ctx, kind, name, versionQuery(version), value)
}

func (c *Client) put(ctx context.Context, kind, name string, query url.Values, value []byte) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, failure(ErrNotApplied, errors.Errorf("the value has %d bytes, the limit is %d", len(value), MaxValueBytes))
	}
	path, err := objectPath(kind, name)
	if err != nil {
		return 0, err
	}
	if value == nil {
		value = []byte{}
	}
	body, err := json.Marshal(struct {
		Value []byte `json:"value"`
	}{value})
	if err != nil {
		return 0, failure(ErrNotApplied, err)
	}
	var answer struct {
		Version uint64 `json:"version"`
	}
	if err := c.call(ctx, http.MethodPut, path+"?"+query.Encode(), body, 0, &answer); err != nil {
		return 0, err
	}
	if answer.Version == 0 {
		return 0, failure(ErrUnknown, errors.New("the answer to a write has no version"))
	}
	return answer.Version, nil
}

// Delete removes an object whose version is still the given one, else it
// returns ErrConflict.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	path, err := objectPath(kind, name)
	if err != nil {
		return err
	}
	var answer struct{}
	return c.call(ctx, http.MethodDelete, path+"?"+versionQuery(version).Encode(), nil, 0, &answer)
}

// List returns all objects of a kind in order of their names. It reads pages:
// an object that changes meanwhile may be seen in its old or its new state. To
// follow a kind from a known revision, use Watch with since 0.
func (c *Client) List(ctx context.Context, kind string) ([]Object, error) {
	var all []Object
	after := ""
	for range maxPages {
		var page struct {
			Objects []wireObject `json:"objects"`
			// Next is the name to continue after; empty on the last page.
			Next string `json:"next"`
		}
		path := "/v1/objects/" + url.PathEscape(kind) + "?" + url.Values{"after": {after}}.Encode()
		if err := c.call(ctx, http.MethodGet, path, nil, 0, &page); err != nil {
			return nil, err
		}
		for _, o := range page.Objects {
			all = append(all, o.object())
		}
		if page.Next == "" {
			return all, nil
		}
		if page.Next <= after {
			return nil, failure(ErrUnknown, errors.New("the pages of a list do not advance"))
		}
		after = page.Next
	}
	return nil, failure(ErrUnknown, errors.Errorf("the list has over %d pages", maxPages))
}

// Watch waits until an object of the kind has a version above since, at most
// for wait, and returns the changed objects in order of their versions with
// the revision to continue from. Deleted objects are reported with a nil
// Value. Since 0 returns all objects; after the wait the list is empty.
func (c *Client) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Object, uint64, error) {
	query := url.Values{
		"since":   {strconv.FormatUint(since, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var answer struct {
		Objects  []wireObject `json:"objects"`
		Revision uint64       `json:"revision"`
	}
	path := "/v1/watch/" + url.PathEscape(kind) + "?" + query.Encode()
	if err := c.call(ctx, http.MethodGet, path, nil, wait, &answer); err != nil {
		return nil, since, err
	}
	if answer.Revision < since {
		return nil, since, failure(ErrUnknown, errors.Errorf("the revision went back from %d to %d", since, answer.Revision))
	}
	objects := make([]Object, 0, len(answer.Objects))
	for _, o := range answer.Objects {
		objects = append(objects, o.object())
	}
	return objects, answer.Revision, nil
}

// Members returns the platform's list of live and leaving hosts.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var answer struct {
		Members []Member `json:"members"`
	}
	if err := c.call(ctx, http.MethodGet, "/v1/members", nil, 0, &answer); err != nil {
		return nil, err
	}
	return answer.Members, nil
}

// call sends one request and decodes a 2xx answer into answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	ctx, sent := sendtrack.Track(ctx)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return failure(ErrNotApplied, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unanswered(sent, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return failure(ErrUnknown, err)
	}
	if len(data) > maxAnswerBytes {
		return failure(ErrUnknown, errors.Errorf("the answer exceeds %d bytes", maxAnswerBytes))
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return refusal(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return failure(ErrUnknown, err)
	}
	return nil
}

func versionQuery(version uint64) url.Values {
	return url.Values{"version": {strconv.FormatUint(version, 10)}}
}

// objectPath refuses names that an HTTP path cannot carry.
func objectPath(kind, name string) (string, error) {
	for _, part := range []string{kind, name} {
		if part == "" || part == "." || part == ".." {
			return "", failure(ErrNotApplied, errors.Errorf("%q is no object name", part))
		}
	}
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name), nil
}
