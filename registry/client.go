package registry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnavailable is wrapped by the error of every failed read of the platform.
var ErrUnavailable = eris.New("registry: unavailable")

const (
	// readTimeout bounds a read in addition to the time that it may wait.
	readTimeout = 3 * time.Second
	// maxResponseBytes bounds the response to one read.
	maxResponseBytes = 64 << 20
)

// Client reads from the platform's replicas and turns to the next one after a
// failure or a stale response. Reads of the zero value fail.
type Client struct {
	addresses []string
	next      int
	http      http.Client
}

// NewClient returns a client of the replicas at the given IPs and ports.
func NewClient(addresses ...string) *Client {
	return &Client{addresses: addresses}
}

type valuesResponse struct {
	Revision int64            `json:"revision"`
	Values   []publishedValue `json:"values"`
}

type publishedValue struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
}

// Read returns the items changed after a revision and the platform's revision;
// it waits up to wait for a change. A stale replica may return a lower revision
// than after.
func (c *Client) Read(ctx context.Context, after int64, wait time.Duration) ([]Item, int64, error) {
	if len(c.addresses) == 0 {
		return nil, 0, eris.Wrap(ErrUnavailable, "no address")
	}
	address := c.addresses[c.next%len(c.addresses)]
	result, err := c.read(ctx, address, after, wait)
	if err != nil {
		c.next++
		return nil, 0, eris.Wrapf(ErrUnavailable, "%s: %v", address, err)
	}
	if result.Revision < after {
		c.next++
	}
	items := make([]Item, 0, len(result.Values))
	for _, v := range result.Values {
		items = append(items, NewItem(v.Key, v.Revision, v.Value))
	}
	return items, result.Revision, nil
}

func (c *Client) read(ctx context.Context, address string, after int64, wait time.Duration) (*valuesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	target := url.URL{Scheme: "http", Host: address, Path: "/v1/values", RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", response.StatusCode)
	}
	result := new(valuesResponse)
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result)
	return result, err
}
