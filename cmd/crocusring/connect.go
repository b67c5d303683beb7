package main

import (
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/tool/requester"
)

// environmentCredential names the variable that holds the operator's credential.
// A credential is never an argument, since other users can read those.
const environmentCredential = "CROCUSRING_CREDENTIAL"

// connection says how to reach the instances.
type connection struct {
	Address        []string `arg:"--address,separate,env:CROCUSRING_ADDRESS" help:"IP number and port of an instance; may be repeated, the first that answers is used" placeholder:"IP:PORT"`
	CredentialFile string   `arg:"--credential-file" help:"file with the credential [default: variable CROCUSRING_CREDENTIAL]" placeholder:"FILE"`
}

func (c *connection) client() (*requester.Client, error) {
	if len(c.Address) == 0 {
		return nil, errors.New("--address or variable CROCUSRING_ADDRESS is needed")
	}
	credential := os.Getenv(environmentCredential)
	if c.CredentialFile != "" {
		text, err := os.ReadFile(c.CredentialFile)
		if err != nil {
			return nil, errors.Wrap(err, "read credential")
		}
		credential = string(text)
	}
	return requester.New(c.Address, strings.TrimSpace(credential)), nil
}
