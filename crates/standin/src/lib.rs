//! Stand-ins (fakes) for the services that the system depends on: model engines, plain services,
//! the log, the instance list, the cloud API and the weight store.
//!
//! Each one speaks the real wire protocol on a loopback port and can be told to misbehave through
//! its [`Faults`].

pub mod answer;
pub mod authority;
pub mod batch;
pub mod cloud;
pub mod engine;
pub mod fault;
mod kv;
pub mod log;
pub mod prefix;
pub mod server;
pub mod service;
pub mod stream_fault;
pub mod weights;

pub use answer::whole_answer;
pub use batch::EngineModel;
pub use cloud::CloudStandin;
pub use engine::EngineStandin;
pub use fault::Faults;
pub use log::LogStandin;
pub use server::StandinServer;
pub use service::ServiceStandin;
pub use stream_fault::{StreamFault, StreamFaults};
pub use weights::WeightsStandin;
