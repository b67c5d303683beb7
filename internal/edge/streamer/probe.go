package streamer

import (
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const pathReport = "/v1/report"

// HasCrashed reports, using a new connection, whether an incarnation of the engine at
// address has ended: the engine reports another incarnation, refuses connections or
// drops them. An engine that does not answer is not considered crashed, since only
// the network path to it may be interrupted.
func (c *Client) HasCrashed(address, incarnation string, until time.Time) (crashed bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(pathReport)
	answer, err := c.pools.For(address).Do(connector.Call{Request: req, Fresh: true, FirstByte: until, AnswerDeadline: until})
	if err != nil {
		return errors.Is(err, connector.ErrRefused) || errors.Is(err, connector.ErrCut)
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxEventBytes))
	if err != nil {
		return errors.Is(err, connector.ErrCut)
	}
	var report messenger.EngineReport
	if json.Unmarshal(body, &report) != nil || report.Incarnation == "" {
		return false
	}
	return report.Incarnation != incarnation
}
