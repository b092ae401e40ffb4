//! Peer package for plain services.
