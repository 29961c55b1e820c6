// Package platform is the client of the configuration service, which serves the
// configuration and the host list. Both can only be read and watched; a pending
// watch counts as one call.
package platform

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/httptransport"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// MaxWatchTimeout is the longest timeout that a watch requests from the service.
	MaxWatchTimeout = 60 * time.Second
	// callTimeout limits a call, in addition to the timeout of a watch. The service
	// responds within milliseconds; a connection without a response must not block
	// the process.
	callTimeout = 5 * time.Second
	// maxConnections allows for one pending watch each of the index and of the
	// host list, and one connection for parts.
	maxConnections = 3
	// connectTimeout bounds the setup of a connection.
	connectTimeout = time.Second
)

var (
	// ErrTooLarge reports a value of more than config.MaxValueSize bytes.
	ErrTooLarge = errors.New("value is too large")
	// ErrMalformed reports a value that cannot be decoded.
	ErrMalformed = errors.New("value is malformed")
	// ErrMismatch reports parts that do not match the index. Usually another
	// revision was published meanwhile, and the index must be read again.
	ErrMismatch = errors.New("parts do not match the index")
)

// StatusError reports an HTTP status that the protocol does not define for the
// request.
type StatusError struct {
	Path string
	Code int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: unexpected HTTP status %d", e.Path, e.Code)
}

// Client reads and watches values of the configuration service. It is safe for
// concurrent use.
type Client struct {
	base *url.URL
	http *http.Client
}

// NewClient returns a client for the base URL of the service. It returns an error
// if baseURL is not an HTTP or HTTPS URL with a host.
func NewClient(baseURL string) (*Client, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, errors.Wrap(err, "configuration service")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errors.Errorf("configuration service: URL %q, must be an http or https URL with a host", baseURL)
	}
	transport := httptransport.New(maxConnections, connectTimeout)
	return &Client{base: base, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}, nil
}

// noRedirect makes the client return redirects as responses, so that one call of
// the client is one call at the service.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Index returns the index if its revision is above after, and otherwise waits for
// a newer one up to the timeout. It returns false if there is none.
func (c *Client) Index(ctx context.Context, after uint64, timeout time.Duration) (*schema.Index, bool, error) {
	index := &schema.Index{}
	ok, err := c.watch(ctx, "v1/config/index", after, timeout, index)
	return index, ok, err
}

// Hosts returns the host list if its version is above after, and otherwise waits
// for a newer one up to the timeout. It returns false if there is none.
func (c *Client) Hosts(ctx context.Context, after uint64, timeout time.Duration) (*schema.HostList, bool, error) {
	hosts := &schema.HostList{}
	ok, err := c.watch(ctx, "v1/hosts", after, timeout, hosts)
	return hosts, ok, err
}

// Part returns the part with the name.
func (c *Client) Part(ctx context.Context, name string) (*schema.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u := c.base.JoinPath("v1/config/parts", url.PathEscape(name))
	part := &schema.Part{}
	ok, err := c.get(ctx, u, part)
	if err == nil && !ok {
		err = &StatusError{u.Path, http.StatusNoContent}
	}
	if err != nil {
		return nil, err
	}
	return part, nil
}

// Fetch reads the parts of an index that the cache lacks and assembles the
// configuration. The error is ErrMismatch if the parts do not match the index,
// for example because of another digest.
func (c *Client) Fetch(ctx context.Context, index *schema.Index, cache *config.PartCache) (*schema.Config, error) {
	var parts []*schema.Part
	for _, name := range cache.Missing(index) {
		part, err := c.Part(ctx, name)
		if err != nil {
			return nil, err
		}
		// The name in the index is authoritative.
		part.Name = name
		parts = append(parts, part)
	}
	cfg, err := cache.Assemble(index, parts)
	if err != nil {
		return nil, errors.Wrap(ErrMismatch, err.Error())
	}
	return cfg, nil
}

// watch reads a value that is newer than after into m. It returns false if there
// is none until the timeout, which is rounded up to seconds.
func (c *Client) watch(ctx context.Context, path string, after uint64, timeout time.Duration, m proto.Message) (bool, error) {
	timeout = min(max(timeout, 0), MaxWatchTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout+callTimeout)
	defer cancel()
	u := c.base.JoinPath(path)
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", strconv.Itoa(int(math.Ceil(timeout.Seconds()))))
	u.RawQuery = query.Encode()
	return c.get(ctx, u, m)
}

// get reads one value into m. It returns false if the service has no value to send.
func (c *Client) get(ctx context.Context, u *url.URL, m proto.Message) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false, errors.Wrap(err, u.Path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, errors.Wrap(err, "configuration service")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return true, decode(u.Path, response.Body, m)
	case http.StatusNoContent:
		return false, nil
	default:
		return false, &StatusError{u.Path, response.StatusCode}
	}
}

// decode reads a value into m. It reads no more than the size limit.
func decode(path string, body io.Reader, m proto.Message) error {
	data, err := io.ReadAll(io.LimitReader(body, config.MaxValueSize+1))
	if err != nil {
		return errors.Wrap(err, path)
	}
	if len(data) > config.MaxValueSize {
		return errors.Wrapf(ErrTooLarge, "%s: above %d bytes", path, config.MaxValueSize)
	}
	if err := protojson.Unmarshal(data, m); err != nil {
		return errors.Wrapf(ErrMalformed, "%s: %v", path, err)
	}
	return nil
}
