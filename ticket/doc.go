// Package ticket validates numbered change tickets, commits them to the key-value service and
// replicates the resulting configuration to all hosts.
package ticket
