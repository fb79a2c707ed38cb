// Package sched schedules requests on upstreams. It combines ranks with guaranteed
// minimum shares (floors), weighted fair queueing between workspaces, an adaptive
// concurrency limit, early refusal of work that would miss its target, preemption and
// retry budgets. Its types perform no I/O, take the time as an argument and are not safe
// for concurrent use.
package sched
