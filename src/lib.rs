//! bronzespindle serves language models and companion services on reclaimable instances.

pub mod settings;
