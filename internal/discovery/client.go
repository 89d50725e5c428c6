package discovery

import (
	"context"
	"io"
	"net"
	"net/http"
)

// Dialer opens connections to the discovery service.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// requestContextKey is the context key under which get stores the context of a request, for the dial that the request
// causes.
type requestContextKey struct{}

// client sends requests to one address of discovery.
type client struct {
	addr  string
	names Names
	http  *http.Client
}

// newClient creates a client. The client cancels a dial when the request that caused the dial ends. By default,
// net/http would let the dial continue: if the address does not answer, each request would occupy a file descriptor
// until the operating system gives up on the dial.
func newClient(addr string, names Names, dialer Dialer) *client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(ctx.Value(requestContextKey{}).(context.Context), cancel)
		defer stop()
		return dialer(ctx, network, addr)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: dial}
	return &client{addr: addr, names: names, http: &http.Client{Transport: transport}}
}

// close closes idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// do sends a request and decodes its response. A response that does not match the request is an error: changes in place
// of the complete list, or changes up to a version older than the one in the request.
func (c *client) do(ctx context.Context, r *request) (update, error) {
	u, err := c.get(ctx, r.url(c.addr))
	switch {
	case err != nil:
		return update{}, err
	case u.complete:
		return u, nil
	case r.complete:
		return update{}, malformedf("got changes instead of the requested complete list")
	case u.version < r.version:
		return update{}, malformedf("changes end at version %d, before the requested version %d", u.version, r.version)
	}
	return u, nil
}

// get fetches a URL and decodes the response.
func (c *client) get(ctx context.Context, url string) (update, error) {
	httpRequest, err := http.NewRequestWithContext(context.WithValue(ctx, requestContextKey{}, ctx), http.MethodGet, url, nil)
	if err != nil {
		return update{}, err
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return update{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return update{}, err
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return update{}, &rejectedError{response.Status}
	default:
		return update{}, malformedf("discovery answered %s", response.Status)
	}
	if len(text) > maxResponseBytes {
		return update{}, malformedf("response of over %d bytes", maxResponseBytes)
	}
	return c.names.decode(text)
}
