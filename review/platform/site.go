package main

import (
	"encoding/json"
	"os"
	"time"
)

const (
	maxBodyBytes = 4 << 20
	contactTime  = 3 * time.Second
)

// Names of services, and paths of routes.
const (
	engineService = "dele69a"
	plainService  = "xano55b"
	streamPath    = "/gono990/"
	unsafePath    = "/puxa403/"
)

// site is a small deployment: the store, replicas, and instances of the system.
type site struct {
	record   *record
	store    *store
	folder   string
	gateways []*gateway
	replicas []*replica
}

func newSite(program string, rec *record, zones []string) (*site, error) {
	folder, err := os.MkdirTemp("", "crocusring-review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: rec, folder: folder}
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	manifest, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{
				"name": "r-stream", "host": host, "prefix": streamPath, "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 600,
				"priority": 2, "service": engineService, "maxAttempts": 1, "sessionAffinity": true, "resumable": false, "gapAimMs": 300,
			},
			{
				"name": "r-unsafe", "host": host, "prefix": unsafePath, "kind": "unsafe", "timeoutMs": 15000, "targetLatencyMs": 300,
				"priority": 2, "service": plainService, "maxAttempts": 1,
			},
		},
		"services": []map[string]any{
			{
				"name": engineService, "healthPath": "/health", "maxConnections": 240, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 32, "kvCapacity": 112181, "stride": 3, "hostMb": 140000.0, "diskMb": 410000.0,
					"models":    []map[string]any{{"name": "m0", "weightsMb": 65100.0, "loadS": 1.4, "adapters": adapterCount, "adapterMb": 12.0, "warmS": 1.2, "diskS": 1.6}},
					"weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 2.1,
				},
			},
			{"name": plainService, "healthPath": "/health", "maxConnections": 240, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return nil, err
	}
	s.store.put("op", "config", manifest)
	s.gateways, err = newGateways(program, folder, s.store.address, zones, rec)
	return s, err
}

// startGateways starts all instances and waits until they are ready.
func (s *site) startGateways() bool {
	for _, g := range s.gateways {
		if err := g.start(); err != nil {
			s.record.add("instance %s cannot be started: %v", g.name, err)
			return false
		}
	}
	return awaitReady(s.gateways, 15*time.Second)
}

// close ends all processes that were started, and removes their files.
func (s *site) close() {
	killAll(s.gateways)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// adapterCount is the number of adapters of the model.
var adapterCount = 0
