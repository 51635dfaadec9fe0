package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
	"laburnumroad.dev/laburnumroad/internal/traffic/whereapi"
)

// whereTimeout bounds a query. A gateway that does not answer in time says so earlier.
const whereTimeout = 10 * time.Second

// whereFlags hold the values of the flags of the command "where".
type whereFlags struct {
	gateway, keyFile string
	json             bool
	request          whereapi.Request
}

func registerWhereFlags(f *flag.FlagSet, flags *commandFlags) {
	w := &flags.where
	f.StringVar(&w.gateway, "gateway", "", "`HOST:PORT` of the gateway's metrics server; required")
	f.StringVar(&w.request.Host, "host", "", "host `name` that the request is for; required")
	f.StringVar(&w.request.Path, "path", "", "`path` of the request; required")
	f.StringVar(&w.keyFile, "key-file", "", "`file` with the customer's key; "+envCallerKey+" if neither this nor -customer is given")
	f.StringVar(&w.request.Customer, "customer", "", "`name` of the customer, instead of its key")
	f.Int64Var(&w.request.PromptTokens, "prompt-tokens", 0, "`tokens` of the prompt; 0 for a plain call")
	f.Int64Var(&w.request.MaxOutput, "max-output", 0, "upper limit of generated `tokens`")
	f.IntVar(&w.request.BodyBytes, "body-bytes", 0, "length of the body in `bytes`")
	f.Var(partsFlag{&w.request.Parts}, "part", "`ID:TOKENS` of a part of the prompt, in order; may be repeated")
	f.BoolVar(&w.json, "json", false, "the same as -o json")
}

// partsFlag is a flag.Value that adds a part of the prompt with each use.
type partsFlag struct{ parts *[]whereapi.Part }

// String implements flag.Value.
func (partsFlag) String() string { return "" }

// Set implements flag.Value.
func (p partsFlag) Set(text string) error {
	i := strings.LastIndexByte(text, ':')
	if i <= 0 {
		return errors.New("must be ID:TOKENS")
	}
	tokens, err := strconv.ParseInt(text[i+1:], 10, 64)
	if err != nil || tokens < 0 {
		return errors.New("must be ID:TOKENS with a number of tokens of at least 0")
	}
	*p.parts = append(*p.parts, whereapi.Part{ID: text[:i], Tokens: tokens})
	return nil
}

func runWhere(ctx context.Context, inv *invocation, flags *commandFlags, _ []string) Outcome {
	w := &flags.where
	if w.json {
		inv.opts.format = formatJSON
	}
	if problem := whereFlagsProblem(inv, w); problem != "" {
		return usageError("%s", problem)
	}
	key, err := w.readKey(inv)
	if err != nil {
		return failure(err)
	}
	request := w.request
	if key != "" {
		request.KeyHash = keyhash.Of(key).String()
	}
	response, err := queryWhere(ctx, w.gateway, &request)
	if err != nil {
		return failure(err)
	}
	return reportWhere(response)
}

// whereFlagsProblem returns why the flags are invalid, or an empty string.
func whereFlagsProblem(inv *invocation, w *whereFlags) string {
	_, _, err := net.SplitHostPort(w.gateway)
	switch {
	case err != nil:
		return "where requires -gateway HOST:PORT"
	case w.request.Host == "" || w.request.Path == "":
		return "where requires -host and -path"
	case w.request.PromptTokens < 0 || w.request.MaxOutput < 0 || w.request.BodyBytes < 0:
		return "-prompt-tokens, -max-output and -body-bytes must not be negative"
	case w.keyFile != "" && w.request.Customer != "":
		return "-key-file and -customer exclude each other"
	case inv.opts.callerKey != inv.env.Getenv(envCallerKey):
		return "where takes no key on the command line; use -key-file or " + envCallerKey
	}
	return ""
}

// readKey returns the customer's key, or an empty string if there is none.
func (w *whereFlags) readKey(inv *invocation) (string, error) {
	if w.request.Customer != "" {
		return "", nil
	}
	if w.keyFile == "" {
		return inv.opts.callerKey, nil
	}
	text, err := readFile(w.keyFile)
	if err != nil {
		return "", err
	}
	key := strings.TrimSpace(text)
	if key == "" {
		return "", errors.Errorf("%s has no key", w.keyFile)
	}
	return key, nil
}

// queryWhere asks a gateway.
func queryWhere(ctx context.Context, gateway string, request *whereapi.Request) (*whereapi.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+whereapi.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		var problem whereapi.ErrorResponse
		if json.Unmarshal(data, &problem) != nil || problem.Error == "" {
			return nil, errors.Errorf("the gateway answered %s; is this the port of its metrics server?", resp.Status)
		}
		return nil, errors.New(problem.Error)
	}
	var response whereapi.Response
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, errors.Wrap(err, "the answer of the gateway")
	}
	return &response, nil
}
