package inventory

import (
	"sort"
	"strconv"
	"strings"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/inventory"
	"basilrudder/schema"
)

// maxListedNames bounds the names in a message. With all names of a large inventory, a
// problem would be unreadable.
const maxListedNames = 12

// uniqueValues reports values that occur more than once.
type uniqueValues struct {
	c *checker
	// first returns the first location of each value. Locations are computed only for
	// a problem.
	first map[string]func() location
	// hideValue replaces the value in messages by schema.HiddenValue.
	hideValue bool
}

func (c *checker) newUniqueValues(size int) *uniqueValues {
	return &uniqueValues{c: c, first: make(map[string]func() location, size)}
}

func (u *uniqueValues) add(value string, at func() location) {
	first, taken := u.first[value]
	if !taken {
		u.first[value] = at
		return
	}
	shown := quote(value)
	if u.hideValue {
		shown = schema.HiddenValue
	}
	previous := first()
	u.c.report(at(), shown, "a value that no other entry has; "+previous.file+" has it at "+previous.key)
}

func (c *checker) checkUnique(parts []*decodedFile) {
	c.checkUniqueNames(parts)
	c.checkUniqueServers(parts)
	c.checkUniqueClasses(parts)
	c.checkUniqueCustomers(parts)
}

func (c *checker) checkUniqueNames(parts []*decodedFile) {
	dataCentres := c.newUniqueValues(len(c.merged.DataCentres))
	models := c.newUniqueValues(len(c.merged.Models))
	tierNumbers := c.newUniqueValues(len(c.merged.Tiers))
	tierNames := c.newUniqueValues(len(c.merged.Tiers))
	keys := c.newUniqueValues(len(c.merged.PeerKeys))
	for _, part := range parts {
		for i, dc := range part.content.DataCentres {
			dataCentres.add(dc.Name, part.locate("data_centres", i, dc.Name, "name"))
		}
		for i, model := range part.content.Models {
			models.add(model.Name, part.locate("models", i, model.Name, "name"))
		}
		for i, tier := range part.content.Tiers {
			tierNumbers.add(strconv.Itoa(tier.Tier), part.locate("tiers", i, tier.Name, "tier"))
			tierNames.add(tier.Name, part.locate("tiers", i, tier.Name, "name"))
		}
		for i, key := range part.content.PeerKeys {
			keys.add(key.ID, part.locate("peer_keys", i, key.ID, "id"))
		}
	}
}

// locate returns a function that computes the location of a key of an item.
func (d *decodedFile) locate(list string, index int, name, key string) func() location {
	return func() location { return topLevelItem(d.file, list, index, name).child(key) }
}

func (c *checker) checkUniqueServers(parts []*decodedFile) {
	names := c.newUniqueValues(len(c.merged.Servers))
	addresses := c.newUniqueValues(len(c.merged.Servers))
	for _, part := range parts {
		for i, server := range part.content.Servers {
			names.add(server.Name, part.locate("servers", i, server.Name, "name"))
			// A server listed twice would count with twice its slots.
			addresses.add(server.Address, part.locate("servers", i, server.Name, "address"))
			c.checkEngineNames(topLevelItem(part.file, "servers", i, server.Name), server)
		}
	}
}

func (c *checker) checkEngineNames(at location, server inventory.Server) {
	names := c.newUniqueValues(len(server.Engines))
	for i, engine := range server.Engines {
		names.add(engine.Name, func() location { return at.item("engines", i, engine.Name).child("name") })
	}
}

func (c *checker) checkUniqueClasses(parts []*decodedFile) {
	names := c.newUniqueValues(len(c.merged.Classes))
	hashes := c.newUniqueHashes(len(c.merged.Classes), classHash)
	for _, part := range parts {
		for i, class := range part.content.Classes {
			at := part.locate("classes", i, class.Name, "name")
			names.add(class.Name, at)
			hashes.add(class.Name, at)
		}
	}
}

func (c *checker) checkUniqueCustomers(parts []*decodedFile) {
	names := c.newUniqueValues(len(c.merged.Customers))
	hashes := c.newUniqueHashes(len(c.merged.Customers), catalog.CustomerHash)
	credentials := c.newUniqueValues(len(c.merged.Customers))
	credentials.hideValue = true
	for _, part := range parts {
		for i, customer := range part.content.Customers {
			at := part.locate("customers", i, customer.Name, "name")
			names.add(customer.Name, at)
			hashes.add(customer.Name, at)
			for j, digest := range customer.CredentialSHA256 {
				credentials.add(digest, func() location {
					return topLevelItem(part.file, "customers", i, customer.Name).element("credential_sha256", j)
				})
			}
		}
	}
}

// uniqueHashes reports different names with the same hash. Messages between instances
// contain only the hash, so one customer would be charged for the requests of another.
type uniqueHashes struct {
	c     *checker
	hash  func(name string) uint64
	names map[uint64]string
}

func (c *checker) newUniqueHashes(size int, of func(name string) uint64) *uniqueHashes {
	return &uniqueHashes{c: c, hash: of, names: make(map[uint64]string, size)}
}

func classHash(name string) uint64 {
	return uint64(catalog.ClassHash(name))
}

func (h *uniqueHashes) add(name string, at func() location) {
	hash := h.hash(name)
	other, taken := h.names[hash]
	if !taken {
		h.names[hash] = name
		return
	}
	if other != name {
		h.c.report(at(), quote(name), "a name whose hash differs from that of "+quote(other)+"; choose another name")
	}
}

func quote(s string) string {
	return strconv.Quote(s)
}

// formatNames joins the names of a set, sorted. Beyond maxListedNames it gives their number.
func formatNames(set map[string]bool) string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) > maxListedNames {
		names = append(names[:maxListedNames:maxListedNames], "and "+strconv.Itoa(len(names)-maxListedNames)+" more")
	}
	return strings.Join(names, ", ")
}
