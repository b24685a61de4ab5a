// Package catalog holds the configuration in force as one immutable value. A Catalog is
// compiled from a validated inventory, published through an atomic pointer and never
// changed afterwards, so request handling reads it without a lock.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/schema/inventory"
)

// Class is a request class with its latency targets and limits.
type Class struct {
	// Name is unique.
	Name string
	// Hash identifies the class in peer messages.
	Hash uint32
	// Tier is the service tier of customers without an override for their subscription; 0
	// is the highest.
	Tier int
	// Kind is whether a model or a plain service serves the class.
	Kind inventory.ClassKind
	// Target is the model or the service that serves the class.
	Target string
	// Deadline is the time allowed from arrival to the end of the answer; 0 for none.
	Deadline time.Duration
	// FirstToken is the target time from arrival to the first token; 0 for none.
	FirstToken time.Duration
	// TokenGap is the target for the 95th percentile of the time between tokens; 0 for none.
	TokenGap time.Duration
	// MaxQueue is the maximum wait in a queue if no deadline applies.
	MaxQueue time.Duration
	// Idempotent is whether a request may run more than once.
	Idempotent bool
	// MaxOutputTokens limits the length of an answer.
	MaxOutputTokens int

	subscriptionTiers map[string]int
}

// TierFor returns the tier of the customer's requests of the class.
func (c *Class) TierFor(customer *Customer) int {
	if tier, ok := c.subscriptionTiers[customer.Subscription]; ok {
		return tier
	}
	return c.Tier
}

// Customer is a tenant with its share and limits.
type Customer struct {
	// Name is unique.
	Name string
	// Hash identifies the customer in peer messages.
	Hash uint64
	// Weight is the share relative to other customers of the same tier.
	Weight float64
	// Subscription selects the tier overrides of classes.
	Subscription string
	// RequestsPerSecond limits the requests of the whole fleet; 0 for no limit.
	RequestsPerSecond float64
	// TokensPerSecond limits the generated tokens of the whole fleet; 0 for no limit.
	TokensPerSecond float64
	// Burst is how much of a rate may be used at once, in time at that rate.
	Burst time.Duration

	classes map[string]bool
}

// MayUse reports whether the customer may send requests of the class.
func (c *Customer) MayUse(class *Class) bool {
	return len(c.classes) == 0 || c.classes[class.Name]
}

// Engine is one engine of a server. Requests run on engines.
type Engine struct {
	// ID has the form server/engine.
	ID string
	// Server is the server of the engine.
	Server *Server
	// Spec is the engine's entry in the inventory.
	Spec inventory.Engine
	// Serves holds the models or services of the engine.
	Serves []string
}

// Server is one upstream server.
type Server struct {
	// Spec is the server's entry in the inventory.
	Spec inventory.Server
	// Group is the group that the server is scheduled in.
	Group *Group
	// Engines holds the engines in the order of the inventory.
	Engines []*Engine
}

// Group is a set of servers with one scheduling queue and one owner among the instances.
// All its servers are located in one data centre and serve the same targets.
type Group struct {
	// Name is unique. It does not change while the set of servers does not change.
	Name string
	// DataCentre is where the servers are located.
	DataCentre string
	// Servers of the group, sorted by name.
	Servers []*Server
	// Serves holds the models or services of the group, sorted.
	Serves []string
}

// Catalog is one compiled revision of the configuration.
type Catalog struct {
	// Revision of the manifest; it only increases.
	Revision uint64
	// Inventory is the merged published content.
	Inventory *inventory.Inventory
	// Rules are the deployment's rules.
	Rules inventory.Rules
	// Classes by name.
	Classes map[string]*Class
	// ClassByHash maps the class hashes in peer messages to classes.
	ClassByHash map[uint32]*Class
	// Customers by name.
	Customers map[string]*Customer
	// CustomerByHash maps the customer hashes in peer messages to customers.
	CustomerByHash map[uint64]*Customer
	// Servers by name.
	Servers map[string]*Server
	// Groups by name.
	Groups map[string]*Group
	// GroupList holds the groups sorted by name.
	GroupList []*Group
	// GroupsFor maps a model or service to the groups that serve it, sorted by name.
	GroupsFor map[string][]*Group
	// Engines by id.
	Engines map[string]*Engine
	// DataCentres by name.
	DataCentres map[string]inventory.DataCentre
	// Tiers holds the tiers, highest first.
	Tiers []inventory.Tier

	byCredential map[[sha256.Size]byte]*Customer
}

// ClassHash returns the 32-bit hash that identifies a class in peer messages.
func ClassHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// CustomerHash returns the 63-bit hash that identifies a customer in peer messages. With
// 32 bits, two of 27,000 names would collide with a probability of 1 in 12, and an
// inventory with a collision is refused as a whole.
func CustomerHash(name string) uint64 {
	return xxhash.Sum64String(name) >> 1
}

// Authenticate returns the customer of a bearer credential, or nil if there is none. Only
// the digest is looked up, so the time taken reveals nothing about the credential.
func (c *Catalog) Authenticate(credential string) *Customer {
	return c.byCredential[sha256.Sum256([]byte(credential))]
}

// OneWay returns the one-way latency between two data centres. It is the larger of the
// figures of the two: the one within a region if they share it, else the one between
// regions.
func (c *Catalog) OneWay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	a, b := c.DataCentres[from], c.DataCentres[to]
	ms := max(a.RegionOneWayMS, b.RegionOneWayMS)
	if a.Region == b.Region {
		ms = max(a.OneWayMS, b.OneWayMS)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Compile builds a Catalog from a validated inventory, which must not change afterwards.
func Compile(revision uint64, inv *inventory.Inventory) *Catalog {
	c := &Catalog{
		Revision:       revision,
		Inventory:      inv,
		Classes:        make(map[string]*Class, len(inv.Classes)),
		ClassByHash:    make(map[uint32]*Class, len(inv.Classes)),
		Customers:      make(map[string]*Customer, len(inv.Customers)),
		CustomerByHash: make(map[uint64]*Customer, len(inv.Customers)),
		Servers:        make(map[string]*Server, len(inv.Servers)),
		Groups:         make(map[string]*Group),
		GroupsFor:      make(map[string][]*Group),
		Engines:        make(map[string]*Engine),
		DataCentres:    make(map[string]inventory.DataCentre, len(inv.DataCentres)),
		byCredential:   make(map[[sha256.Size]byte]*Customer, len(inv.Customers)),
	}
	if inv.Rules != nil {
		c.Rules = *inv.Rules
	}
	for _, dc := range inv.DataCentres {
		c.DataCentres[dc.Name] = dc
	}
	c.Tiers = append(c.Tiers, inv.Tiers...)
	sort.Slice(c.Tiers, func(i, j int) bool { return c.Tiers[i].Tier < c.Tiers[j].Tier })
	c.compileClasses()
	c.compileCustomers()
	c.compileServers()
	return c
}

func (c *Catalog) compileClasses() {
	for _, in := range c.Inventory.Classes {
		class := newClass(in)
		c.Classes[class.Name] = class
		c.ClassByHash[class.Hash] = class
	}
}

func newClass(in inventory.Class) *Class {
	class := &Class{
		Name:              in.Name,
		Hash:              ClassHash(in.Name),
		Tier:              in.Tier,
		Kind:              in.Kind,
		Target:            in.Model,
		Deadline:          milliseconds(in.DeadlineMS),
		FirstToken:        milliseconds(in.FirstTokenMS),
		TokenGap:          milliseconds(in.TokenGapMS),
		MaxQueue:          milliseconds(in.MaxQueueMS),
		Idempotent:        in.Idempotent,
		MaxOutputTokens:   in.MaxOutputTokens,
		subscriptionTiers: make(map[string]int, len(in.SubscriptionTiers)),
	}
	if in.Kind == inventory.ClassKindService {
		class.Target = in.Service
	}
	for _, st := range in.SubscriptionTiers {
		class.subscriptionTiers[st.Subscription] = st.Tier
	}
	return class
}

func (c *Catalog) compileCustomers() {
	for _, in := range c.Inventory.Customers {
		customer := newCustomer(in)
		c.Customers[customer.Name] = customer
		c.CustomerByHash[customer.Hash] = customer
		for _, digest := range in.CredentialSHA256 {
			var key [sha256.Size]byte
			if _, err := hex.Decode(key[:], []byte(digest)); err == nil {
				c.byCredential[key] = customer
			}
		}
	}
}

func newCustomer(in inventory.Customer) *Customer {
	customer := &Customer{
		Name:              in.Name,
		Hash:              CustomerHash(in.Name),
		Weight:            in.Weight,
		Subscription:      in.Subscription,
		RequestsPerSecond: in.RequestsPerS,
		TokensPerSecond:   in.TokensPerS,
		Burst:             time.Duration(in.BurstS * float64(time.Second)),
	}
	if len(in.Classes) > 0 {
		customer.classes = make(map[string]bool, len(in.Classes))
		for _, name := range in.Classes {
			customer.classes[name] = true
		}
	}
	return customer
}

func (c *Catalog) compileServers() {
	pools := make(map[string][]*Server)
	for _, in := range c.Inventory.Servers {
		server := newServer(in)
		c.Servers[in.Name] = server
		for _, engine := range server.Engines {
			c.Engines[engine.ID] = engine
		}
		pool := in.DataCentre + "/" + strings.Join(servedTargets(server), "+")
		pools[pool] = append(pools[pool], server)
	}
	for pool, servers := range pools {
		c.compileGroups(pool, servers)
	}
	sort.Slice(c.GroupList, func(i, j int) bool { return c.GroupList[i].Name < c.GroupList[j].Name })
	for _, group := range c.GroupList {
		for _, target := range group.Serves {
			c.GroupsFor[target] = append(c.GroupsFor[target], group)
		}
	}
}

func newServer(in inventory.Server) *Server {
	server := &Server{Spec: in}
	for _, spec := range in.Engines {
		engine := &Engine{
			ID:     in.Name + "/" + spec.Name,
			Server: server,
			Spec:   spec,
			Serves: spec.Models,
		}
		if in.Kind == inventory.ServerKindApplication {
			engine.Serves = spec.Services
		}
		server.Engines = append(server.Engines, engine)
	}
	return server
}

// servedTargets returns the models or services of all engines of a server, sorted.
func servedTargets(server *Server) []string {
	set := make(map[string]bool)
	for _, engine := range server.Engines {
		for _, target := range engine.Serves {
			set[target] = true
		}
	}
	out := make([]string, 0, len(set))
	for target := range set {
		out = append(out, target)
	}
	sort.Strings(out)
	return out
}

// compileGroups splits the servers of a pool evenly into groups. A change of the pool may
// move servers between groups. The new owner is informed of the requests that still run on
// a moved server when their holders renew them.
func (c *Catalog) compileGroups(pool string, servers []*Server) {
	perGroup := max(c.Rules.ServersPerGroup, 1)
	count := (len(servers) + perGroup - 1) / perGroup
	sort.Slice(servers, func(i, j int) bool { return servers[i].Spec.Name < servers[j].Spec.Name })
	for i, server := range servers {
		name := groupName(pool, i%count)
		group := c.Groups[name]
		if group == nil {
			group = &Group{Name: name, DataCentre: server.Spec.DataCentre, Serves: servedTargets(server)}
			c.Groups[name] = group
			c.GroupList = append(c.GroupList, group)
		}
		group.Servers = append(group.Servers, server)
		server.Group = group
	}
}

// groupName returns the name of a group of a pool. Names are short because peer messages
// contain them.
func groupName(pool string, index int) string {
	const letters = "0123456789abcdefghijklmnopqrstuvwxyz"
	h := ClassHash(pool)
	out := make([]byte, 0, 8)
	for range 5 {
		out = append(out, letters[h%uint32(len(letters))])
		h /= uint32(len(letters))
	}
	out = append(out, '.')
	for {
		out = append(out, letters[index%len(letters)])
		index /= len(letters)
		if index == 0 {
			return string(out)
		}
	}
}

func milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
