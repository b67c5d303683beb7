package loader

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// LoadGateway reads the settings of a gateway instance from a file and checks them.
func LoadGateway(file string) (messenger.GatewaySettings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return messenger.GatewaySettings{}, errors.Wrap(err, "read settings")
	}
	return ParseGateway(file, text)
}

// ParseGateway decodes and checks the settings of a gateway instance. Faults name
// file as the source of text. The error holds all faults and is
// inspector.ErrInvalid.
func ParseGateway(file string, text []byte) (messenger.GatewaySettings, error) {
	return parse(file, text, gatewayFaults)
}

// gatewayFaults returns the values of s that are out of range.
func gatewayFaults(s *messenger.GatewaySettings) []fault {
	faults := []fault{}
	add := func(bad bool, key, message string) {
		if bad {
			faults = append(faults, fault{Key: key, Message: message})
		}
	}
	const address = "must be an IP number and a port"
	add(s.Instance == "", "Instance", "must not be empty")
	add(s.DataCentre == "", "DataCentre", "must not be empty")
	add(!isAddress(s.CallerAddress), "CallerAddress", address)
	add(!isAddress(s.ReadinessAddress), "ReadinessAddress", address)
	add(!isAddress(s.PeerAddress), "PeerAddress", address)
	add(!isAddress(s.LoadAddress), "LoadAddress", address)
	add(!isAddress(s.LocatorAddress), "LocatorAddress", address)
	add(s.MetricsAddress != "" && !isAddress(s.MetricsAddress), "MetricsAddress", address+", or empty")
	add(!isAddress(s.StoreAddress), "StoreAddress", address)
	add(s.LogLevel < 0 || s.LogLevel > 1, "LogLevel", "must be 0 or 1")
	add(s.MemoryMegabytes < 0, "MemoryMegabytes", notNegative)
	add(s.MaxDescriptors < 0, "MaxDescriptors", notNegative)
	add(s.HedgeShare < 0 || s.HedgeShare > 1, "HedgeShare", "must be from 0 to 1")
	addBoundFaults(&s.Bounds, add)
	return faults
}

const notNegative = "must be 0 or more"

func addBoundFaults(b *messenger.GatewayBounds, add func(bad bool, key, message string)) {
	const positive = "must be more than 0"
	add(b.GraceSeconds <= 0, "Bounds.GraceSeconds", positive)
	add(b.LeaseMilliseconds <= 0, "Bounds.LeaseMilliseconds", positive)
	add(b.RetryRatio < 0, "Bounds.RetryRatio", notNegative)
	add(b.RetryWindowSeconds <= 0, "Bounds.RetryWindowSeconds", positive)
	add(b.RetrySlack < 0, "Bounds.RetrySlack", notNegative)
	add(b.LoadWindowSeconds <= 0, "Bounds.LoadWindowSeconds", positive)
	add(b.LocateSeconds <= 0, "Bounds.LocateSeconds", positive)
	add(b.DrainMilliseconds < 0, "Bounds.DrainMilliseconds", notNegative)
	add(b.ApplyMilliseconds < 0, "Bounds.ApplyMilliseconds", notNegative)
	add(b.RevokeMilliseconds < 0, "Bounds.RevokeMilliseconds", notNegative)
	add(b.QuotaWindowSeconds < 0, "Bounds.QuotaWindowSeconds", notNegative)
	add(b.QuotaOverage < 0, "Bounds.QuotaOverage", notNegative)
	add(b.QuotaSlack < 0, "Bounds.QuotaSlack", notNegative)
}
