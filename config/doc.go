// Package config reads and validates the TOML settings of an entry host and configures its logger.
package config
