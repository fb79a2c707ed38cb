// Package home tells which regions may process a call: its homes. They are those of its route and its workspace.
package home
