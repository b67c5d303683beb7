// Package test contains the end-to-end tests and benchmarks: they run the instances, a
// simulated platform and simulated targets as separate processes.
package test
