package inventory

import (
	"sort"
	"strconv"
	"strings"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/inventory"
	"basilrudder/schema"
)

const maxListed = 12

// uniqueness finds values that occur twice and where the first one stands.
type uniqueness struct {
	c *checker
	// first tells where a value stands; a site is only built for a problem.
	first map[string]func() site
	// secret hides the value in messages.
	secret bool
}

func (c *checker) unique(size int) *uniqueness {
	return &uniqueness{c: c, first: make(map[string]func() site, size)}
}

func (u *uniqueness) add(value string, at func() site) {
	first, taken := u.first[value]
	if !taken {
		u.first[value] = at
		return
	}
	shown := quote(value)
	if u.secret {
		shown = schema.HiddenValue
	}
	there := first()
	u.c.add(at(), shown, "a value that no other entry has; "+there.file+" has it at "+there.key)
}

func (c *checker) checkUnique(parts []*decoded) {
	c.checkUniqueNames(parts)
	c.checkUniqueServers(parts)
	c.checkUniqueClasses(parts)
	c.checkUniqueCustomers(parts)
}

func (c *checker) checkUniqueNames(parts []*decoded) {
	dataCentres := c.unique(len(c.merged.DataCentres))
	models := c.unique(len(c.merged.Models))
	tierNumbers := c.unique(len(c.merged.Tiers))
	tierNames := c.unique(len(c.merged.Tiers))
	keys := c.unique(len(c.merged.PeerKeys))
	for _, part := range parts {
		for i, dc := range part.content.DataCentres {
			dataCentres.add(dc.Name, part.place("data_centres", i, dc.Name, "name"))
		}
		for i, model := range part.content.Models {
			models.add(model.Name, part.place("models", i, model.Name, "name"))
		}
		for i, tier := range part.content.Tiers {
			tierNumbers.add(strconv.Itoa(tier.Tier), part.place("tiers", i, tier.Name, "tier"))
			tierNames.add(tier.Name, part.place("tiers", i, tier.Name, "name"))
		}
		for i, key := range part.content.PeerKeys {
			keys.add(key.ID, part.place("peer_keys", i, key.ID, "id"))
		}
	}
}

// place returns a function that tells where a key of an item stands.
func (d *decoded) place(list string, index int, name, key string) func() site {
	return func() site { return top(d.file, list, index, name).sub(key) }
}

func (c *checker) checkUniqueServers(parts []*decoded) {
	names := c.unique(len(c.merged.Servers))
	addresses := c.unique(len(c.merged.Servers))
	for _, part := range parts {
		for i, server := range part.content.Servers {
			names.add(server.Name, part.place("servers", i, server.Name, "name"))
			// One server entered twice would be given twice its slots.
			addresses.add(server.Address, part.place("servers", i, server.Name, "address"))
			c.checkEngineNames(top(part.file, "servers", i, server.Name), server)
		}
	}
}

func (c *checker) checkEngineNames(at site, server inventory.Server) {
	names := c.unique(len(server.Engines))
	for i, engine := range server.Engines {
		names.add(engine.Name, func() site { return at.item("engines", i, engine.Name).sub("name") })
	}
}

func (c *checker) checkUniqueClasses(parts []*decoded) {
	names := c.unique(len(c.merged.Classes))
	hashes := c.hashes(len(c.merged.Classes), classHash)
	for _, part := range parts {
		for i, class := range part.content.Classes {
			at := part.place("classes", i, class.Name, "name")
			names.add(class.Name, at)
			hashes.add(class.Name, at)
		}
	}
}

func (c *checker) checkUniqueCustomers(parts []*decoded) {
	names := c.unique(len(c.merged.Customers))
	hashes := c.hashes(len(c.merged.Customers), catalog.CustomerHash)
	credentials := c.unique(len(c.merged.Customers))
	credentials.secret = true
	for _, part := range parts {
		for i, customer := range part.content.Customers {
			at := part.place("customers", i, customer.Name, "name")
			names.add(customer.Name, at)
			hashes.add(customer.Name, at)
			for j, digest := range customer.CredentialSHA256 {
				credentials.add(digest, func() site {
					return top(part.file, "customers", i, customer.Name).at("credential_sha256", j)
				})
			}
		}
	}
}

// hashes finds different names with one hash: messages between instances carry
// the hash alone, so that one customer would be charged for another.
type hashes struct {
	c     *checker
	of    func(name string) uint64
	names map[uint64]string
}

func (c *checker) hashes(size int, of func(name string) uint64) *hashes {
	return &hashes{c: c, of: of, names: make(map[uint64]string, size)}
}

func classHash(name string) uint64 {
	return uint64(catalog.ClassHash(name))
}

func (h *hashes) add(name string, at func() site) {
	hash := h.of(name)
	other, taken := h.names[hash]
	if !taken {
		h.names[hash] = name
		return
	}
	if other != name {
		h.c.add(at(), quote(name), "a name whose hash differs from that of "+quote(other)+"; choose another name")
	}
}

func quote(s string) string {
	return strconv.Quote(s)
}

// list shows the names of a set, sorted and shortened.
func list(set map[string]bool) string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) > maxListed {
		names = append(names[:maxListed:maxListed], "and "+strconv.Itoa(len(names)-maxListed)+" more")
	}
	return strings.Join(names, ", ")
}
