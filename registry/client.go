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

// ErrUnavailable is the error that every failed read of the platform wraps.
var ErrUnavailable = eris.New("registry: unavailable")

const (
	// readTimeout bounds a read beyond the time that it may wait.
	readTimeout = 3 * time.Second
	// maxAnswerBytes bounds the answer of one read.
	maxAnswerBytes = 64 << 20
)

// Client reads the platform's replicas in turn; its zero value reads nothing.
type Client struct {
	addresses []string
	next      int
	http      http.Client
}

// NewClient returns a client of the replicas at the given IPs and ports.
func NewClient(addresses ...string) *Client {
	return &Client{addresses: addresses}
}

type valuesAnswer struct {
	Revision int64         `json:"revision"`
	Values   []valueAnswer `json:"values"`
}

type valueAnswer struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
}

// Read returns the items above the revision, and the platform's revision; it
// waits for one at most wait. A stale replica may answer with a lower
// revision than it was asked for.
func (c *Client) Read(ctx context.Context, after int64, wait time.Duration) ([]Item, int64, error) {
	if len(c.addresses) == 0 {
		return nil, 0, eris.Wrap(ErrUnavailable, "no address")
	}
	address := c.addresses[c.next%len(c.addresses)]
	answer, err := c.read(ctx, address, after, wait)
	if err != nil {
		c.next++
		return nil, 0, eris.Wrapf(ErrUnavailable, "%s: %v", address, err)
	}
	if answer.Revision < after {
		c.next++
	}
	items := make([]Item, 0, len(answer.Values))
	for _, v := range answer.Values {
		items = append(items, NewItem(v.Key, v.Revision, v.Value))
	}
	return items, answer.Revision, nil
}

func (c *Client) read(ctx context.Context, address string, after int64, wait time.Duration) (*valuesAnswer, error) {
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
	answer := new(valuesAnswer)
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer)
	return answer, err
}
