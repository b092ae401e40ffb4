//! Peer package for the cloud API: starts, stops, prices and reclaim notices.

pub mod client;
pub mod wire;

pub use client::{Cloud, HttpCloud, StartError};
pub use wire::{
    CloudInstance, Notices, Offer, ReclaimNotice, RunningList, StartReply, StartRequest,
};
