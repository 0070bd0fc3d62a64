package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// Errors that every failure of a Client wraps one of.
var (
	// ErrUnreachable says that no entry answered at the admin address.
	ErrUnreachable = eris.New("operator: entry not reachable")
	// ErrRefused says that the entry refused what it was asked.
	ErrRefused = eris.New("operator: refused")
	// ErrInvalidResponse says that the answer is not one of an entry's admin address.
	ErrInvalidResponse = eris.New("operator: answer not understood")
)

const (
	// clientTimeout is how long an entry may take to answer.
	clientTimeout = 10 * time.Second
	// maxAnswerBytes is the size of the largest answer read, in bytes.
	maxAnswerBytes = 64 << 20
)

// Client asks the admin address of one entry instance.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the admin address, an IP and port.
func NewClient(address string) *Client {
	// Proxies in the environment are not for admin addresses.
	transport := &http.Transport{}
	return &Client{address: address, http: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// Ready returns why the entry gets no callers, empty if it does.
func (c *Client) Ready(ctx context.Context) (reason string, err error) {
	return c.health(ctx, "/readyz")
}

// Healthy returns why the entry's process should be replaced, empty if it works.
func (c *Client) Healthy(ctx context.Context) (reason string, err error) {
	return c.health(ctx, "/healthz")
}

// Status returns the entry's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, "/v1/status", &s)
	return s, err
}

// Config returns what is in force at the entry and what it refused.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var config Config
	err := c.get(ctx, "/v1/config", &config)
	return config, err
}

// BackendServers returns the servers that the entry keeps.
func (c *Client) BackendServers(ctx context.Context) ([]BackendServer, error) {
	var v serversValue
	err := c.get(ctx, "/v1/servers", &v)
	return v.Servers, err
}

// Explain returns the decisions that the entry has kept about a request.
func (c *Client) Explain(ctx context.Context, id string) ([]Decision, error) {
	var v explainValue
	err := c.get(ctx, "/v1/explain?request_id="+url.QueryEscape(id), &v)
	return v.Decisions, err
}

// Drain starts the entry's graceful shutdown and returns its id; an id that
// is given must be the entry's own.
func (c *Client) Drain(ctx context.Context, id string) (entry string, err error) {
	path := "/v1/drain"
	if id != "" {
		path += "?id=" + url.QueryEscape(id)
	}
	status, body, err := c.call(ctx, http.MethodPost, path)
	if err != nil {
		return "", err
	}
	var v drainValue
	err = decode(status, http.StatusAccepted, body, &v)
	return v.ID, err
}

func (c *Client) health(ctx context.Context, path string) (reason string, err error) {
	status, body, err := c.call(ctx, http.MethodGet, path)
	if err != nil {
		return "", err
	}
	if status != http.StatusServiceUnavailable {
		return "", decode(status, http.StatusOK, body, &healthValue{})
	}
	var v healthValue
	err = decode(status, status, body, &v)
	return v.Reason, err
}

func (c *Client) get(ctx context.Context, path string, value any) error {
	status, body, err := c.call(ctx, http.MethodGet, path)
	if err != nil {
		return err
	}
	return decode(status, http.StatusOK, body, value)
}

func (c *Client) call(ctx context.Context, method, path string) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, nil)
	if err != nil {
		return 0, nil, eris.Wrapf(ErrUnreachable, "%s: %v", c.address, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, eris.Wrapf(ErrUnreachable, "%s: %v", c.address, cause(err))
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, eris.Wrapf(ErrUnreachable, "%s: %v", c.address, err)
	}
	return response.StatusCode, body, nil
}

// cause returns the error within the one that repeats the method and URL.
func cause(err error) error {
	if failed, ok := errors.AsType[*url.Error](err); ok {
		return failed.Err
	}
	return err
}

func decode(status, want int, body []byte, value any) error {
	if status != want {
		var v errorValue
		if err := json.Unmarshal(body, &v); err != nil || v.Error.Message == "" {
			return eris.Wrapf(ErrInvalidResponse, "status %d", status)
		}
		return eris.Wrap(ErrRefused, v.Error.Message)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return eris.Wrap(ErrInvalidResponse, err.Error())
	}
	return nil
}
