package relay

import "basilrudder/internal/placement"

// bindVersion binds a stream that may be resumed to the software version of the server whose
// first event the caller gets. What two versions write does not fit together, and servers do
// not check.
func (f *forwarder) bindVersion() {
	if f.route.Resumable {
		f.work.Software = placement.OnlySoftware(f.target.Software)
	}
}
