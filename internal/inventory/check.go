package inventory

import (
	"fmt"
	"sort"
	"strconv"

	"basilrudder/internal/schema/inventory"
	"basilrudder/schema"
)

// checker finds what files say of each other that cannot be true together.
type checker struct {
	merged   *inventory.Inventory
	problems Problems

	dataCentres map[string]bool
	models      map[string]bool
	services    map[string]bool
	classes     map[string]bool
	tiers       map[int]bool
}

// site is where an item stands.
type site struct {
	file string
	key  string
}

func (s site) sub(key string) site {
	return site{file: s.file, key: s.key + "." + key}
}

func (s site) item(list string, index int, name string) site {
	return site{file: s.file, key: fmt.Sprintf("%s.%s[%d:%s]", s.key, list, index, name)}
}

func (s site) at(list string, index int) site {
	return site{file: s.file, key: fmt.Sprintf("%s.%s[%d]", s.key, list, index)}
}

func top(file, list string, index int, name string) site {
	return site{file: file, key: fmt.Sprintf("%s[%d:%s]", list, index, name)}
}

// check runs every check over the merged inventory; parts tell where each item
// stands.
func check(parts []*decoded, merged *inventory.Inventory) Problems {
	c := &checker{
		merged:      merged,
		dataCentres: make(map[string]bool, len(merged.DataCentres)),
		models:      make(map[string]bool, len(merged.Models)),
		services:    make(map[string]bool),
		classes:     make(map[string]bool, len(merged.Classes)),
		tiers:       make(map[int]bool, len(merged.Tiers)),
	}
	c.collectNames()
	c.checkPresent()
	c.checkUnique(parts)
	c.checkFloors()
	for _, part := range parts {
		c.checkServers(part)
		c.checkClasses(part)
		c.checkCustomers(part)
	}
	return c.problems
}

func (c *checker) add(at site, value, expected string) {
	c.problems = append(c.problems, Problem{File: at.file, Key: at.key, Value: value, Expected: expected})
}

func (c *checker) collectNames() {
	for _, dc := range c.merged.DataCentres {
		c.dataCentres[dc.Name] = true
	}
	for _, model := range c.merged.Models {
		c.models[model.Name] = true
	}
	for _, class := range c.merged.Classes {
		c.classes[class.Name] = true
	}
	for _, tier := range c.merged.Tiers {
		c.tiers[tier.Tier] = true
	}
	for _, server := range c.merged.Servers {
		for _, engine := range server.Engines {
			for _, service := range engine.Services {
				c.services[service] = true
			}
		}
	}
}

// checkPresent refuses an inventory without one of the lists: a manifest that
// forgot a file would otherwise turn every customer or server away at once.
func (c *checker) checkPresent() {
	lists := []struct {
		key   string
		count int
	}{
		{"data_centres", len(c.merged.DataCentres)},
		{"servers", len(c.merged.Servers)},
		{"classes", len(c.merged.Classes)},
		{"customers", len(c.merged.Customers)},
		{"tiers", len(c.merged.Tiers)},
	}
	for _, list := range lists {
		if list.count == 0 {
			c.add(site{file: wholeInventory, key: list.key}, schema.MissingValue, "at least one entry in some file")
		}
	}
}

// checkFloors keeps the promised shares of a group within the group.
func (c *checker) checkFloors() {
	sum := 0.0
	for _, tier := range c.merged.Tiers {
		sum += tier.FloorShare
	}
	if sum > 1 {
		at := site{file: wholeInventory, key: "tiers[].floor_share"}
		c.add(at, strconv.FormatFloat(sum, 'g', 6, 64), "shares that add up to at most 1")
	}
}

func (c *checker) checkServers(part *decoded) {
	for i, server := range part.content.Servers {
		at := top(part.file, "servers", i, server.Name)
		if !c.dataCentres[server.DataCentre] {
			c.add(at.sub("data_centre"), quote(server.DataCentre), "one of the data centres "+list(c.dataCentres))
		}
		for j, engine := range server.Engines {
			c.checkEngine(at.item("engines", j, engine.Name), server.Kind, engine)
		}
	}
}

func (c *checker) checkEngine(at site, kind inventory.ServerKind, engine inventory.Engine) {
	if kind == inventory.ServerKindApplication {
		c.checkLists(at, "application", "services", engine.Services, "models", engine.Models)
		return
	}
	c.checkLists(at, "model", "models", engine.Models, "services", engine.Services)
	for i, model := range engine.Models {
		if !c.models[model] {
			c.add(at.at("models", i), quote(model), "one of the models "+list(c.models))
		}
	}
}

func (c *checker) checkLists(at site, kind, wantKey string, want []string, otherKey string, other []string) {
	if len(want) == 0 {
		c.add(at.sub(wantKey), schema.MissingValue, "at least one entry, because the server's kind is "+kind)
	}
	if len(other) > 0 {
		c.add(at.sub(otherKey), quote(other[0]), "no entry, because the server's kind is "+kind)
	}
	seen := make(map[string]bool, len(want))
	for i, name := range want {
		if seen[name] {
			c.add(at.at(wantKey, i), quote(name), "each name once")
		}
		seen[name] = true
	}
}

func (c *checker) checkClasses(part *decoded) {
	for i, class := range part.content.Classes {
		at := top(part.file, "classes", i, class.Name)
		c.checkTarget(at, class)
		c.checkTier(at.sub("tier"), class.Tier)
		seen := make(map[string]bool, len(class.SubscriptionTiers))
		for j, override := range class.SubscriptionTiers {
			c.checkTier(at.at("subscription_tiers", j).sub("tier"), override.Tier)
			if seen[override.Subscription] {
				c.add(at.at("subscription_tiers", j).sub("subscription"), quote(override.Subscription), "each subscription once")
			}
			seen[override.Subscription] = true
		}
		if class.DeadlineMS > 0 && class.FirstTokenMS > class.DeadlineMS {
			c.add(at.sub("first_token_ms"), strconv.Itoa(class.FirstTokenMS), "at most deadline_ms, "+strconv.Itoa(class.DeadlineMS))
		}
	}
}

// checkTarget accepts a class without a target: its callers name the model.
func (c *checker) checkTarget(at site, class inventory.Class) {
	if class.Kind == inventory.ClassKindService {
		if class.Service != "" && !c.services[class.Service] {
			c.add(at.sub("service"), quote(class.Service), "one of the services that servers offer: "+list(c.services))
		}
		if class.Model != "" {
			c.add(at.sub("model"), quote(class.Model), `no model, because the class's kind is service`)
		}
		return
	}
	if class.Model != "" && !c.models[class.Model] {
		c.add(at.sub("model"), quote(class.Model), "one of the models "+list(c.models))
	}
	if class.Service != "" {
		c.add(at.sub("service"), quote(class.Service), `no service, because the class's kind is model`)
	}
}

func (c *checker) checkTier(at site, tier int) {
	if c.tiers[tier] {
		return
	}
	known := make([]int, 0, len(c.tiers))
	for number := range c.tiers {
		known = append(known, number)
	}
	sort.Ints(known)
	c.add(at, strconv.Itoa(tier), fmt.Sprintf("one of the tiers %v", known))
}

func (c *checker) checkCustomers(part *decoded) {
	for i, customer := range part.content.Customers {
		for j, class := range customer.Classes {
			if !c.classes[class] {
				at := top(part.file, "customers", i, customer.Name).at("classes", j)
				c.add(at, quote(class), "one of the classes "+list(c.classes))
			}
		}
	}
}
