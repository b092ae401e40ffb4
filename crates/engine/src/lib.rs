//! Peer package for model engines.
