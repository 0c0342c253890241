package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// callersShare is the share of a machine's link that the traffic of callers takes.
	callersShare = 0.5
	// transferChunkBytes is the part of a transfer after which the shares of its links are
	// computed anew.
	transferChunkBytes = 32 << 10
	// responseHeaderBytes is the size of a response without records.
	responseHeaderBytes = 200
	// maxReadBytes is the most that the store returns for one read.
	maxReadBytes = 1024 << 10
	// simTransferTime bounds the time from the first byte of a response to its last one, as in
	// platform.Store.
	simTransferTime = 10 * time.Second
)

// simDeployment is the size of a simulated deployment and the bounds of its platform.
type simDeployment struct {
	dataCentres, perDataCentre int
	// linkMbps are the rates of the machines' links, in rotation; without any they are not limited.
	linkMbps  []float64
	storeMbps float64 // 0 for a link that is not limited
	// routes and grownRoutes are the numbers of routes of the configuration at the start and after
	// it has grown. Without routes the configuration has a few hundred bytes.
	routes, grownRoutes int
	// applyBound returns the time within which a change of a feed has to be applied.
	applyBound func(index int) time.Duration
	// recovery is how long after a fault the bound does not apply to a node.
	recovery time.Duration
}

// unlimitedDeployment has links without limits, so that only rules of the feeds delay a change.
func unlimitedDeployment(perDataCentre int) simDeployment {
	return simDeployment{dataCentres: clusterDataCentres, perDataCentre: perDataCentre, applyBound: maxApplyDelay, recovery: recoveryTime}
}

// limitedDeployment returns a deployment with a configuration that grows from 5 KB to 190 KB.
// configBound is ConfigMs of the platform's settings.
func limitedDeployment(dataCentres, perDataCentre int, configBound time.Duration, linkMbps ...float64) simDeployment {
	const (
		storeMbps    = 4000
		stableWindow = 5 * time.Second // StableWindowMs of the platform's settings
	)
	return simDeployment{
		dataCentres: dataCentres, perDataCentre: perDataCentre, linkMbps: linkMbps, storeMbps: storeMbps,
		routes: 37, grownRoutes: 1400, applyBound: func(int) time.Duration { return configBound }, recovery: stableWindow,
	}
}

// String returns the fields that a failed plan prints.
func (d *simDeployment) String() string {
	return fmt.Sprintf("{%d data centres of %d, links %v Mbit/s, %d routes}", d.dataCentres, d.perDataCentre, d.linkMbps, d.grownRoutes)
}

func bytesPerSecond(mbps float64) float64 { return mbps * 1e6 / 8 }

// simLink is a link whose transfers share its rate equally. Datagrams are sent at the same rate
// beside them: links are full duplex, and the transfers are received.
type simLink struct {
	bytesPerSecond float64 // 0 if the link is not limited
	transfers      int
}

// duration returns the time of sending n bytes alone.
func (l *simLink) duration(n int) time.Duration {
	return time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second))
}

// timeLeft returns the time after which a call is given up. lastByte is the time at which the
// latest part of the response arrived, or at which its transfer began.
type timeLeft func(lastByte time.Time) time.Duration

// readTimeLeft is the time-out of a read, as platform.Store has it: it fails when no byte arrives
// for callTimeout, or after simTransferTime in all. wait is how long the read waits for records.
func readTimeLeft(began time.Time, wait time.Duration) timeLeft {
	return func(lastByte time.Time) time.Duration {
		return min(time.Until(lastByte.Add(callTimeout)), time.Until(began.Add(wait+callTimeout+simTransferTime)))
	}
}

var errGivenUp = errors.New("simulated time-out")

// transfer takes the time that the given number of bytes need on links that are shared with other
// transfers. It returns an error if the transfer is given up.
func (c *cluster) transfer(ctx context.Context, bytes int, left timeLeft, links ...*simLink) error {
	change := func(by int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, l := range links {
			l.transfers += by
		}
	}
	change(1)
	defer change(-1)
	for lastByte := time.Now(); bytes > 0; lastByte = time.Now() {
		chunk := min(bytes, transferChunkBytes)
		c.mu.Lock()
		rate := math.Inf(1)
		for _, l := range links {
			if l.bytesPerSecond > 0 {
				rate = min(rate, l.bytesPerSecond/float64(l.transfers))
			}
		}
		c.mu.Unlock()
		d, limit := time.Duration(float64(chunk)/rate*float64(time.Second)), left(lastByte)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(d, limit)):
		}
		if d > limit {
			return errGivenUp
		}
		bytes -= chunk
	}
	return ctx.Err()
}

// simDocument is a configuration of many routes, encoded like JSON. A change affects one route.
type simDocument struct {
	routes []string
	added  int
}

// route returns a route of about 130 bytes.
func (d *simDocument) route(timeout int) string {
	words := []string{"kea", "huia", "tieke", "pukeko", "ruru", "weka", "titi", "hoiho", "kaka", "kereru", "moho", "whio"}
	d.added++
	name := fmt.Sprintf("%s%d", words[d.added*7%len(words)], d.added)
	return fmt.Sprintf(`{"Name":%q,"Host":"h.example","PathPrefix":"/%s/","Kind":"safe","Service":"desk","TimeoutMs":%d,"MaxAttempts":2,"SloMs":%d}`,
		name, name, timeout, 300+d.added*31%400)
}

func (d *simDocument) grow(routes int) {
	for len(d.routes) < routes {
		d.routes = append(d.routes, d.route(3000))
	}
}

// change replaces a route or inserts one, in turn.
func (d *simDocument) change(version int) {
	at := version * 37 % len(d.routes)
	if version%2 == 0 {
		d.routes[at] = d.route(3000 + version)
		return
	}
	d.routes = slices.Insert(d.routes, at, d.route(3000+version))
}

func (d *simDocument) encode(version int) []byte {
	return []byte(fmt.Sprintf(`{"Version":%d,"Routes":[%s]}`, version, strings.Join(d.routes, ",")))
}

// sentBytes returns the bytes that the store has sent for a feed.
func (c *cluster) sentBytes(index int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.sent[index]
}
