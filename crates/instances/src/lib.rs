//! Peer package for the instance list.
