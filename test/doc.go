// Package test holds the tests that run the system as separate processes.
package test
