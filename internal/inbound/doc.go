// Package inbound bounds what clients make the process hold through the connections that they open.
package inbound
