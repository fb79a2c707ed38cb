// Package origin keeps at which software version streams began, so that they go on only at upstreams of that
// version: the streams of this host and those that others have reported, the versions that a service has had
// recently, and the hosts that are told and asked about a stream.
package origin
