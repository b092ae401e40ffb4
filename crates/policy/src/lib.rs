//! Decisions: routing, admission, retry, leases, membership, configuration.
