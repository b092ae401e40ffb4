//! Peer package for the cloud API.
