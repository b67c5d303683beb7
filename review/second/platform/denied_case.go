package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

func init() { cases["denied"] = playDenied }

const (
	deniedEngines = 12
	// fatalParts is how many parts crash replicas, and documents how many others there are beside the
	// one that the fatal ones come with.
	fatalParts = 2
	documents  = 30
	// companyPart is the part that requests with a fatal one bear as well, and sound ones.
	companyPart = "aa01:100"
	firstPart   = "f1:100"
)

// playDenied sends requests with parts that crash replicas, all of which bear another part as well, and
// some seconds later sound requests with that part.
func playDenied(w *world) (bool, error) {
	if _, err := w.startEngines(deniedEngines, adapterCount); err != nil {
		return false, err
	}
	c := w.newClients()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const (
		calm       = 4 * time.Second
		soundAfter = 6 * time.Second
		played     = 60 * time.Second
		wait       = 8 * time.Second
	)
	go every(ctx, 40*time.Millisecond, func() {
		document := rand.IntN(1 + rand.IntN(documents))
		c.sendPrompt(w.anyInstance(), streamPath+"x", fmt.Sprintf("%s,d%02x:100", firstPart, document), wait)
	})
	time.Sleep(calm)
	for n := range fatalParts {
		if w.hasTrouble {
			go w.sendFatal(ctx, c, fmt.Sprintf("%s%d", crashPart, n), n%2 == 1)
		}
	}
	time.Sleep(soundAfter)
	go every(ctx, 150*time.Millisecond, func() {
		c.sendPrompt(w.anyInstance(), streamPath+"x", firstPart+","+companyPart, wait)
	})
	time.Sleep(played)
	cancel()
	time.Sleep(time.Second)
	return w.judgeDenied(c.all()), nil
}

func (w *world) anyInstance() *instance { return w.instances[rand.IntN(len(w.instances))] }

// sendFatal sends requests with a fatal part, no two alike, until ctx is done. isMidway has replicas
// crash once the answer has begun.
func (w *world) sendFatal(ctx context.Context, c *clients, part string, isMidway bool) {
	first := firstPart
	if isMidway {
		first = midwayPart + "100"
	}
	pause := 300*time.Millisecond + rand.N(900*time.Millisecond)
	for ctx.Err() == nil {
		parts := fmt.Sprintf("%s,%s:100,%s", first, part, companyPart)
		go c.sendPrompt(w.anyInstance(), streamPath+"x", parts, 8*time.Second)
		time.Sleep(pause/2 + rand.N(3*pause/2))
	}
}

// judgeDenied reports whether more than 5 and one in 500 of all requests were proper and got 400 from
// the system.
func (w *world) judgeDenied(attempts []attempt) bool {
	denied, sound, fatal := 0, 0, 0
	for _, a := range attempts {
		isCompany := strings.Contains(a.parts, companyPart)
		switch isDenied := a.status == http.StatusBadRequest && a.stamp == ""; {
		case strings.Contains(a.parts, crashPart):
			fatal++
		case isDenied:
			denied++
			fallthrough
		case isCompany:
			sound++
		}
	}
	const share = 500
	bound := 5 + len(attempts)/share
	w.record.addf("of %d requests %d were fatal, and %d were sound and bore the part that the fatal ones bear as well", len(attempts), fatal, sound)
	w.record.addf("%d proper requests got 400; the bound is %d", denied, bound)
	return denied > bound
}
