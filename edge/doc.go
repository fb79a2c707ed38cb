// Package edge composes an entry host that relays calls to upstreams without reading them: it
// follows the platform's directory, schedules calls and passes answers on.
package edge
