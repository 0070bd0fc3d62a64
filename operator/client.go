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

// Every error of a Client wraps one of these.
var (
	// ErrUnreachable is returned when no entry answers at the admin address.
	ErrUnreachable = eris.New("operator: entry not reachable")
	// ErrRefused is returned when the entry refuses the request.
	ErrRefused = eris.New("operator: refused")
	// ErrInvalidResponse is returned when the response is not one of an admin server.
	ErrInvalidResponse = eris.New("operator: invalid response")
)

const (
	// clientTimeout bounds one request, response included.
	clientTimeout = 10 * time.Second
	// maxResponseBytes is the number of bytes of a response that are read at most.
	maxResponseBytes = 64 << 20
)

// Client is a client of the admin server of one entry instance.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the admin server at an IP and port.
func NewClient(address string) *Client {
	// A zero Transport ignores the proxies in the environment, which are not meant for admin addresses.
	transport := &http.Transport{}
	return &Client{address: address, http: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// Ready returns the reason why callers should not be sent to the entry, empty if it is ready.
func (c *Client) Ready(ctx context.Context) (reason string, err error) {
	return c.health(ctx, "/readyz")
}

// Healthy returns the reason why the entry's process should be replaced, empty if it is healthy.
func (c *Client) Healthy(ctx context.Context) (reason string, err error) {
	return c.health(ctx, "/healthz")
}

// Status returns the entry's state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, "/v1/status", &s)
	return s, err
}

// Config returns the published items that are active at the entry and those that it refused.
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

// Explain returns the decisions about a request in the entry's decision log.
func (c *Client) Explain(ctx context.Context, id string) ([]Decision, error) {
	var v explainValue
	err := c.get(ctx, "/v1/explain?request_id="+url.QueryEscape(id), &v)
	return v.Decisions, err
}

// Drain starts the entry's graceful shutdown and returns its id. If id is not
// empty, the entry refuses unless its own id matches.
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
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, eris.Wrapf(ErrUnreachable, "%s: %v", c.address, err)
	}
	return response.StatusCode, body, nil
}

// cause unwraps a url.Error, whose text repeats the method and URL.
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
