//! HTTP plumbing shared by the peers: bounded bodies, a draining server, a JSON client.
