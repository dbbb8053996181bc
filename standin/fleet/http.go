package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// requestTimeout limits one HTTP request.
const requestTimeout = 12 * time.Second

// HTTPClient sends single requests without retries.
type HTTPClient struct {
	hertz *client.Client
}

// NewHTTPClient returns a client.
func NewHTTPClient() (*HTTPClient, error) {
	c, err := client.NewClient(
		client.WithDialTimeout(time.Second),
		client.WithMaxConnsPerHost(256),
		client.WithDialer(standard.NewDialer()),
	)
	if err != nil {
		return nil, fmt.Errorf("set up HTTP client: %w", err)
	}
	c.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return &HTTPClient{hertz: c}, nil
}

// Reply is what came back for a request.
type Reply struct {
	Status  int
	Outcome string
	Reason  string
	Body    []byte
}

// Do sends one request and reads the whole response.
func (c *HTTPClient) Do(method, url string, headers map[string]string, body []byte) (Reply, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(url)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.SetBody(body)
	if err := c.hertz.DoTimeout(context.Background(), req, resp, requestTimeout); err != nil {
		return Reply{}, err
	}
	return Reply{
		Status:  resp.StatusCode(),
		Outcome: resp.Header.Get("Wagtail-Outcome"),
		Reason:  resp.Header.Get("Wagtail-Reason"),
		Body:    append([]byte(nil), resp.Body()...),
	}, nil
}

// Get returns status and body of a resource.
func (c *HTTPClient) Get(url string) (int, []byte, error) {
	r, err := c.Do(consts.MethodGet, url, nil, nil)
	return r.Status, r.Body, err
}

// Post sends a JSON body and fails on a status of 300 or above.
func (c *HTTPClient) Post(url string, body []byte) error {
	r, err := c.Do(consts.MethodPost, url, map[string]string{"Content-Type": "application/json"}, body)
	if err == nil && r.Status >= 300 {
		err = fmt.Errorf("%s answered %d: %s", url, r.Status, r.Body)
	}
	return err
}
