package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// addressTimeout is how long a caller waits for an entry to respond with the address to use.
const addressTimeout = 2 * time.Second

// errNoAddress is returned when no entry responds with a usable address.
var errNoAddress = errors.New("load: no entry responded with a usable address")

// addressCache caches the addresses that entries tell callers to use.
type addressCache struct {
	client  *http.Client
	entries []string

	mu     sync.Mutex
	cached map[string]addressBody // by failure domain
}

type addressBody struct {
	Address    string   `json:"address"`
	Alternates []string `json:"alternates"`
	KeepFor    string   `json:"keep_for"`
	Prefix     string   `json:"request_id_prefix"`

	expires time.Time
}

// get returns the address to use and the prefix of request IDs. It queries the entries
// when the cached address has expired or is to be avoided.
func (c *addressCache) get(ctx context.Context, j job, avoid []string) (address, prefix string, err error) {
	c.mu.Lock()
	current := c.cached[j.domain]
	c.mu.Unlock()
	if current.Address == "" || time.Now().After(current.expires) || slices.Contains(avoid, current.Address) {
		if current, err = c.query(ctx, j, avoid); err != nil {
			return "", "", err
		}
		c.mu.Lock()
		c.cached[j.domain] = current
		c.mu.Unlock()
	}
	addresses := append([]string{current.Address}, current.Alternates...)
	for _, address := range addresses {
		if !slices.Contains(avoid, address) {
			return address, current.Prefix, nil
		}
	}
	return "", "", errNoAddress
}

// invalidate makes the next request query the entries: the owner entry of its ID may be gone.
func (c *addressCache) invalidate(j job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cached, j.domain)
}

// query queries one entry after another until one returns an address that is not to
// be avoided; otherwise it returns the last response.
func (c *addressCache) query(ctx context.Context, j job, avoid []string) (addressBody, error) {
	var last addressBody
	for i := range c.entries {
		body, err := c.queryEntry(ctx, c.entries[(j.number+i)%len(c.entries)], j)
		if err != nil {
			continue
		}
		last = body
		if !slices.Contains(avoid, body.Address) {
			return body, nil
		}
	}
	if last.Address == "" {
		return last, errNoAddress
	}
	return last, nil
}

func (c *addressCache) queryEntry(ctx context.Context, entry string, j job) (addressBody, error) {
	var body addressBody
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	target := "http://" + entry + "/v1/address?failure_domain=" + url.QueryEscape(j.domain)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return body, err
	}
	request.Header.Set("Authorization", "Bearer "+j.key)
	response, err := c.client.Do(request)
	if err != nil {
		return body, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return body, fmt.Errorf("load: %s: %s", entry, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return body, err
	}
	keepFor, err := time.ParseDuration(body.KeepFor)
	body.expires = time.Now().Add(keepFor)
	return body, err
}
