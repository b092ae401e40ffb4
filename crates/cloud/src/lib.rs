//! Client library for the cloud API: starting and stopping instances, prices and reclaim notices.

pub mod client;
pub mod wire;

pub use client::{Cloud, HttpCloud, StartError};
pub use wire::{
    CloudInstance, Notices, Offer, ReclaimNotice, RunningList, StartReply, StartRequest,
};
