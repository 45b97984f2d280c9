package record

import (
	"encoding/json"
	"errors"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Publish replaces an object's document.
type Publish struct {
	// Object is "template/NAME" or "workspace/NAME".
	Object string `json:"object"`
	// Base is the revision that the document was edited from.
	Base ids.Revision `json:"base"`
	// Document is the object's content; null removes the object.
	Document json.RawMessage `json:"document"`
}

// Type implements Body.
func (*Publish) Type() Type { return TypePublish }

// Validate implements Body.
func (p *Publish) Validate() error {
	if p.Object == "" {
		return errors.New("no object")
	}
	if p.Base < ids.NoRevision {
		return errors.New("base revision below -1")
	}
	return nil
}
