//! Peer package for the weight store.
