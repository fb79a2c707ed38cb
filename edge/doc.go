// Package edge implements an entry host that relays calls to upstreams without interpreting
// their content: it watches the platform's directory, schedules calls and relays the answers.
package edge
