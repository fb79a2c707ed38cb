// Package finish predicts when streams end at engines that prefill prompts beside them. It learns the number of events
// of responses and the time of an event, and does no I/O.
package finish
