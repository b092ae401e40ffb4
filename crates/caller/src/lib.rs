//! Peer package for callers: wire types, checked requests, problem documents.
