// Package ticket validates and accepts numbered change tickets, and keeps the configuration in force.
package ticket
