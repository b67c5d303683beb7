package registrar_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// TestAddressesOfHostsAreTaken guards against turning away the addresses that targets use.
func TestAddressesOfHostsAreTaken(t *testing.T) {
	for _, address := range []string{"10.2.64.23:8560", "[2001:db8::1]:80", "t-1.example:9", "localhost:65535", "t_1.example.:1"} {
		assert.NoError(t, registrar.CheckAddress(address))
	}
}
