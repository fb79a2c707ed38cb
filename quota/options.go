package quota

import "time"

const (
	defaultWindow = time.Second
	defaultFactor = 1
)

type (
	// Option changes a setting of a Quota.
	Option func(*Quota)

	// window bounds the requests of all hosts in a span: factor times what the rate allows, and a reserve of requests.
	window struct {
		span            time.Duration
		factor, reserve float64
	}
)

// WithBurst sets the time for which a share accumulates, if that is more than one request; by default it is zero.
func WithBurst(burst time.Duration) Option { return func(q *Quota) { q.bucket.burst = burst } }

// WithWindow sets the span in which the requests of all hosts are counted, and bounds them by factor times what the rate
// allows and a reserve of requests. By default they are bounded by the rate in a second.
func WithWindow(span time.Duration, factor, reserve float64) Option {
	return func(q *Quota) {
		q.window, q.own = window{span: span, factor: factor, reserve: reserve}, newWholeCounter(span)
	}
}

// WithNotice sets how much later than this host others may learn of the rate if reports are lost; by default they do not.
func WithNotice(notice time.Duration) Option { return func(q *Quota) { q.notice = notice } }

// WithProbe sets the time after which a rate that no statement has confirmed is tried by one request, from one host
// after the other. By default it is never tried.
func WithProbe(interval time.Duration) Option { return func(q *Quota) { q.probeInterval = interval } }

// WithUnaware makes hosts that have not reported for a time count as if they knew nothing of the rate, and as if they went
// on to send what this host sent before. By default they are taken to know it after the window.
func WithUnaware(silence time.Duration) Option { return func(q *Quota) { q.silence = silence } }
