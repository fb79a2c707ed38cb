// Command entry runs an entry host.
package main
