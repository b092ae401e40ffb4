//! Peer package for operators: the administration API and its client.
