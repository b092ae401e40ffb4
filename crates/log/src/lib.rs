//! Peer package for the append-only log service.
