package main

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"
)

func init() { cases["manifest"] = playManifest }

const (
	deskA, deskB = "huvo11a", "wuno96b"
	// keptPath is routed in both manifests, movedPath to another service in the second one,
	// droppedPath only in the first one and addedPath only in the second one.
	keptPath, movedPath, droppedPath, addedPath = "/kept/", "/moved/", "/dropped/", "/added/"
)

// manifestTimes are the moments that the rule CONFIG depends on.
type manifestTimes struct {
	// acknowledged is when the store acknowledged the second manifest.
	acknowledged time.Time
	// judgedFrom is from when requests are judged.
	judgedFrom time.Time
}

// playManifest sends a manifest shortly after the store has come back from a copy, and looks whether
// it is in force.
func playManifest(w *world) (bool, error) {
	if err := w.startDesks(); err != nil {
		return false, err
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, i := range w.instances {
		for _, path := range []string{keptPath, movedPath, droppedPath, addedPath} {
			go every(ctx, 200*time.Millisecond, func() { c.send(http.MethodGet, i, path+"x", "", 3*time.Second) })
		}
	}
	const (
		calm = 14 * time.Second
		away = time.Second
		// copyAge is how old the copy is when the store goes away.
		copyAge = 10 * time.Second
		// sentAfter is when the operator sends the manifest after the store is back: it is stable
		// again.
		sentAfter = contactTime + 200*time.Millisecond
		// settle is added to the bound from which requests are judged.
		settle   = 300 * time.Millisecond
		observed = 12 * time.Second
	)
	time.Sleep(calm)
	back := w.drill(away, time.Now().Add(-copyAge))
	time.Sleep(sentAfter)
	version, _, ok := w.store.put(tableOperator, "config", secondManifest())
	if !ok {
		return false, errors.New("the store is away")
	}
	times := manifestTimes{acknowledged: time.Now()}
	times.judgedFrom = times.acknowledged.Add(applyTime + settle)
	w.record.addf("operator: manifest 9 is acknowledged, as version %d of the store, %.1f s after it came back", version, times.acknowledged.Sub(back).Seconds())
	time.Sleep(time.Until(times.judgedFrom.Add(observed)))
	w.record.addf("the newest version of the store is %d", w.store.newest())
	cancel()
	time.Sleep(time.Second)
	return w.judgeManifest(c.all(), times), nil
}

// startDesks starts a store, two plain services and four instances.
func (w *world) startDesks() error {
	var err error
	if w.store, err = newStore(); err != nil {
		return err
	}
	w.store.put(tableOperator, "config", firstManifest())
	for _, service := range []string{deskA, deskB} {
		for _, zone := range []string{"nl-west-a", "nl-west-b", "nl-west-c"} {
			if _, err := w.newReplica("i-"+service+"-"+zone, service, zone, false); err != nil {
				return err
			}
		}
	}
	if err := w.addInstances("nl-west-a", "nl-west-a", "nl-west-b", "nl-west-c"); err != nil {
		return err
	}
	return w.startAll()
}

func firstManifest() []byte {
	routes := []string{plainRoute("r-kept", keptPath, deskA), plainRoute("r-moved", movedPath, deskA), plainRoute("r-dropped", droppedPath, deskA)}
	return manifestText(4, strings.Join(routes, ","), plainService(deskA)+","+plainService(deskB))
}

func secondManifest() []byte {
	routes := []string{plainRoute("r-kept", keptPath, deskA), plainRoute("r-moved", movedPath, deskB), plainRoute("r-added", addedPath, deskB)}
	return manifestText(9, strings.Join(routes, ","), plainService(deskA)+","+plainService(deskB))
}

// judgeManifest counts the requests that were sent later than the bound and handled as only the
// first manifest allows.
func (w *world) judgeManifest(attempts []attempt, times manifestTimes) bool {
	judged, old, bySecond := 0, map[string]int{}, map[int]int{}
	for _, a := range attempts {
		if a.sent.Before(times.judgedFrom) {
			continue
		}
		judged++
		second := int(a.sent.Sub(times.judgedFrom).Seconds())
		switch path := strings.TrimSuffix(a.path, "x"); {
		case path == movedPath && a.status == http.StatusOK && strings.HasSuffix(a.body, deskA):
			old["run by the old service"]++
		case path == droppedPath && a.status == http.StatusOK:
			old["run with the dropped route"]++
		case path == addedPath && a.status == http.StatusNotFound:
			old["refused with 404 though the route is there"]++
		default:
			continue
		}
		bySecond[second]++
	}
	w.record.addf("of %d requests that were sent later than %.1f s after the acknowledgement:", judged, times.judgedFrom.Sub(times.acknowledged).Seconds())
	total := 0
	for what, n := range old {
		w.record.addf("  %d %s", n, what)
		total += n
	}
	w.record.addf("  by the second after the bound: %v", bySecond)
	w.record.addf("  %d in all handled as only the older manifest allows", total)
	return total > 0
}
