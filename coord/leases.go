package coord

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// Acquire takes a free or expired lease or fails with ErrLeaseHeld.
func (c *Client) Acquire(
	ctx context.Context, name spoke.LeaseName, holder spoke.HostID, ttl time.Duration,
) (spoke.Lease, error) {
	acquire := call{
		method: http.MethodPost,
		path:   leasePath(name),
		body:   leaseBody{Holder: string(holder), TTL: int64(ttl / time.Millisecond)},
	}
	sentAt := c.timer.Now()
	status, content, err := c.do(ctx, acquire)
	if err != nil {
		return spoke.Lease{}, err
	}
	if status == http.StatusConflict {
		return spoke.Lease{}, eris.Wrapf(spoke.ErrLeaseHeld, "lease %q for %q", name, holder)
	}
	return grantedLease(acquire, content, spoke.Lease{Name: name, Holder: holder}, sentAt)
}

// Renew extends a held lease or fails with ErrLeaseLost.
func (c *Client) Renew(ctx context.Context, lease spoke.Lease, ttl time.Duration) (spoke.Lease, error) {
	renew := call{
		method: http.MethodPut,
		path:   leasePath(lease.Name),
		body: leaseBody{
			Holder: string(lease.Holder),
			Token:  uint64(lease.Fence),
			TTL:    int64(ttl / time.Millisecond),
		},
	}
	sentAt := c.timer.Now()
	status, content, err := c.do(ctx, renew)
	if err != nil {
		return spoke.Lease{}, err
	}
	if status == http.StatusConflict || status == http.StatusNotFound {
		return spoke.Lease{}, eris.Wrapf(spoke.ErrLeaseLost, "lease %q with token %d", lease.Name, lease.Fence)
	}
	return grantedLease(renew, content, lease, sentAt)
}

// Release ends a held lease or fails with ErrLeaseLost.
func (c *Client) Release(ctx context.Context, lease spoke.Lease) error {
	query := url.Values{
		"holder": {string(lease.Holder)},
		"token":  {strconv.FormatUint(uint64(lease.Fence), 10)},
	}
	status, _, err := c.do(ctx, call{method: http.MethodDelete, path: leasePath(lease.Name) + "?" + query.Encode()})
	if err != nil {
		return err
	}
	if status == http.StatusConflict || status == http.StatusNotFound {
		return eris.Wrapf(spoke.ErrLeaseLost, "lease %q with token %d", lease.Name, lease.Fence)
	}
	return nil
}

// grantedLease returns the lease of a response. The expiry is computed from the time
// before the request was sent, so it is never later than the expiry at the service.
func grantedLease(call call, content []byte, lease spoke.Lease, sentAt time.Time) (spoke.Lease, error) {
	var body leaseBody
	if err := decode(call, content, &body); err != nil {
		return spoke.Lease{}, err
	}
	lease.Fence = spoke.FencingToken(body.Token)
	lease.Expires = sentAt.Add(time.Duration(body.TTL) * time.Millisecond)
	return lease, nil
}

func leasePath(name spoke.LeaseName) string { return "/leases/" + url.PathEscape(string(name)) }
