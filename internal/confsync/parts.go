package confsync

import (
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// OnWant sends pieces of the manifest or of a value of the revision in force. If the data
// is not available, it answers with the revision in force, so that the peer turns to
// another source.
func (c *Core) OnWant(now monotime.Instant, from string, want wire.ConfigWant, eff Effects) {
	data, ok := c.lookup(want)
	if !ok {
		c.sendOffer(from, c.offer(now), eff)
		return
	}
	if want.Offset < 0 || want.Offset > len(data) {
		return
	}
	offset := want.Offset
	for range piecesPerRequest {
		end := min(offset+PieceBytes, len(data))
		c.stats.PartsSent++
		c.stats.BytesToPeers += uint64(end - offset)
		eff.SendPeer(from, &wire.Envelope{ConfigPart: &wire.ConfigPart{
			Revision: want.Revision,
			SHA256:   want.SHA256,
			Offset:   offset,
			Total:    len(data),
			Data:     data[offset:end],
		}})
		offset = end
		if offset == len(data) {
			return
		}
	}
}

func (c *Core) lookup(want wire.ConfigWant) ([]byte, bool) {
	if c.current.id.number == 0 {
		return nil, false
	}
	if want.SHA256 == "" {
		return c.current.manifest, uint64(want.Revision) == c.current.id.number
	}
	data, ok := c.current.chunks[want.SHA256]
	return data, ok
}

// OnPart handles a requested piece.
func (c *Core) OnPart(now monotime.Instant, from string, part wire.ConfigPart, eff Effects) {
	it := c.findActiveItem(from, part)
	if it == nil || !it.accept(part) {
		return
	}
	it.progressAt = now
	c.stats.BytesFromPeers += uint64(len(part.Data))
	switch {
	case len(it.data) == it.size:
		c.finishItem(it, eff)
	case len(it.data) >= it.requestedTo:
		c.requestPieces(it, eff)
	}
	c.advance(now, eff)
}

func (c *Core) findActiveItem(from string, part wire.ConfigPart) *item {
	f := c.fetch
	if f == nil || from == platformSource || uint64(part.Revision) != f.candidate.id.number {
		return nil
	}
	for _, it := range f.items {
		if it.active && it.source == from && it.wireHash() == part.SHA256 {
			return it
		}
	}
	return nil
}

// accept appends a piece that continues the item. Any other piece is dropped: one
// requested before a timeout may arrive twice.
func (it *item) accept(part wire.ConfigPart) bool {
	if it.size == unknownSize && part.Total >= 0 && part.Total <= MaxValueBytes {
		it.size = part.Total
	}
	if part.Total != it.size || part.Offset != len(it.data) {
		return false
	}
	if len(part.Data) > it.size-len(it.data) || len(part.Data) == 0 && it.size > 0 {
		return false
	}
	it.data = append(it.data, part.Data...)
	return true
}
