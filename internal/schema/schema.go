// Package schema holds the Go code generated from schema/peridotstall.proto:
// messages between processes, the published configuration and the settings.
package schema
