// Package sched decides which work an upstream gets and when: ranks with
// floors, weighted fair queueing between workspaces, an adaptive concurrency
// limit, immediate refusals, preemption and retry budgets. It is pure.
package sched
