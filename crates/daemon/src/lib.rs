//! Peer package for other daemons.
