// Package config reads and validates the TOML settings of an entry host and sets up its log.
package config
