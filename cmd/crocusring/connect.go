package main

import (
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/tool/requester"
)

// credentialVariable is the environment variable that holds the operator's
// credential. The credential cannot be passed as an argument because other users of
// the machine can read the arguments of a process.
const credentialVariable = "CROCUSRING_CREDENTIAL"

// connectionArguments holds the arguments for connecting to instances.
type connectionArguments struct {
	Address        []string `arg:"--address,separate,env:CROCUSRING_ADDRESS" help:"IP number and port of an instance; may be repeated, the first that answers is used" placeholder:"IP:PORT"`
	CredentialFile string   `arg:"--credential-file" help:"file with the credential [default: variable CROCUSRING_CREDENTIAL]" placeholder:"FILE"`
}

// client returns a client for the instances, with the credential of the operator.
func (c *connectionArguments) client() (*requester.Client, error) {
	if len(c.Address) == 0 {
		return nil, errors.New("--address or environment variable CROCUSRING_ADDRESS is required")
	}
	credential := os.Getenv(credentialVariable)
	if c.CredentialFile != "" {
		text, err := os.ReadFile(c.CredentialFile)
		if err != nil {
			return nil, errors.Wrap(err, "read credential")
		}
		credential = string(text)
	}
	return requester.New(c.Address, strings.TrimSpace(credential)), nil
}
