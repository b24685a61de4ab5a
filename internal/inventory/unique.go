package inventory

import (
	"sort"
	"strconv"
	"strings"

	"basilrudder/internal/schema/inventory"
)

const maxListed = 12

// uniqueness finds values that occur twice and where the first one stands.
type uniqueness struct {
	c     *checker
	first map[string]site
	// secret hides the value in messages.
	secret bool
}

func (c *checker) unique(size int) *uniqueness {
	return &uniqueness{c: c, first: make(map[string]site, size)}
}

func (u *uniqueness) add(at site, value string) {
	first, taken := u.first[value]
	if !taken {
		u.first[value] = at
		return
	}
	shown := quote(value)
	if u.secret {
		shown = "(hidden)"
	}
	u.c.add(at, shown, "a value that no other entry has; "+first.file+" has it at "+first.key)
}

func (c *checker) checkUnique(parts []*decoded) {
	merged := c.merged
	dataCentres := c.unique(len(merged.DataCentres))
	models := c.unique(len(merged.Models))
	tierNumbers := c.unique(len(merged.Tiers))
	tierNames := c.unique(len(merged.Tiers))
	keys := c.unique(len(merged.PeerKeys))
	servers := c.unique(len(merged.Servers))
	addresses := c.unique(len(merged.Servers))
	for _, part := range parts {
		in := part.content
		for i, dc := range in.DataCentres {
			dataCentres.add(top(part.file, "data_centres", i, dc.Name).sub("name"), dc.Name)
		}
		for i, model := range in.Models {
			models.add(top(part.file, "models", i, model.Name).sub("name"), model.Name)
		}
		for i, tier := range in.Tiers {
			at := top(part.file, "tiers", i, tier.Name)
			tierNumbers.add(at.sub("tier"), strconv.Itoa(tier.Tier))
			tierNames.add(at.sub("name"), tier.Name)
		}
		for i, key := range in.PeerKeys {
			keys.add(top(part.file, "peer_keys", i, key.ID).sub("id"), key.ID)
		}
		for i, server := range in.Servers {
			at := top(part.file, "servers", i, server.Name)
			servers.add(at.sub("name"), server.Name)
			// One server entered twice would be given twice its slots.
			addresses.add(at.sub("address"), server.Address)
			c.checkEngineNames(at, server)
		}
	}
	c.checkUniqueClasses(parts)
	c.checkUniqueCustomers(parts)
}

func (c *checker) checkEngineNames(at site, server inventory.Server) {
	names := c.unique(len(server.Engines))
	for i, engine := range server.Engines {
		names.add(at.item("engines", i, engine.Name).sub("name"), engine.Name)
	}
}

func (c *checker) checkUniqueClasses(parts []*decoded) {
	names := c.unique(len(c.merged.Classes))
	hashes := c.hashes(len(c.merged.Classes))
	for _, part := range parts {
		for i, class := range part.content.Classes {
			at := top(part.file, "classes", i, class.Name).sub("name")
			names.add(at, class.Name)
			hashes.add(at, class.Name)
		}
	}
}

func (c *checker) checkUniqueCustomers(parts []*decoded) {
	names := c.unique(len(c.merged.Customers))
	hashes := c.hashes(len(c.merged.Customers))
	credentials := c.unique(len(c.merged.Customers))
	credentials.secret = true
	for _, part := range parts {
		for i, customer := range part.content.Customers {
			at := top(part.file, "customers", i, customer.Name)
			names.add(at.sub("name"), customer.Name)
			hashes.add(at.sub("name"), customer.Name)
			for j, digest := range customer.CredentialSHA256 {
				credentials.add(at.at("credential_sha256", j), digest)
			}
		}
	}
}

// hashes finds different names with one hash: messages between instances carry
// the hash alone, so that one customer would be charged for another.
type hashes struct {
	c     *checker
	names map[string]string
}

func (c *checker) hashes(size int) *hashes {
	return &hashes{c: c, names: make(map[string]string, size)}
}

func (h *hashes) add(at site, name string) {
	hash := hashName(name)
	other, taken := h.names[hash]
	if !taken {
		h.names[hash] = name
		return
	}
	if other != name {
		h.c.add(at, quote(name), "a name whose 32-bit hash differs from that of "+quote(other)+"; choose another name")
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
