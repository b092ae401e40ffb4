//! The request path: from a validated request to the complete response of an upstream.
//!
//! The task of a request owns its sockets. External dependencies are small traits: the headers of
//! the upstreams ([`UpstreamProtocol`]), the store and the cloud ([`backends`]) and the time
//! ([`spindle_types::Clock`]). The decision logic, which does no I/O, is in `spindle-policy`.

mod admission;
pub mod assignment;
mod attempt;
pub mod backends;
pub mod balancer;
pub mod caller_server;
pub mod caller_stream;
pub mod config;
pub mod config_versions;
pub mod connection;
pub mod contact_test;
pub mod crash_keeper;
pub mod events;
pub mod handoff;
pub mod handoff_server;
pub mod helpers;
mod limits;
pub mod metrics;
mod next_attempt;
mod notices;
pub mod pool;
pub mod protocol;
mod rank_limits;
pub mod rank_room;
pub mod relay;
pub mod request;
mod request_log;
mod request_phases;
pub mod response_body;
pub mod response_end;
mod response_stream;
pub mod rollout_watch;
mod service_paces;
mod stream;
pub mod stream_keeper;
mod stream_origin;
mod tracked_upstream;
mod unacknowledged;
mod upstream_contacts;
mod upstream_response;
pub mod usage;

pub use balancer::Balancer;
pub use config::{ActiveConfig, ApiKey, Limits, RepeatPolicy, Route, ServiceSpec, TeamSpec};
pub use config_versions::ConfigVersions;
pub use protocol::{ExecutedResponse, ForwardContext, ResponseClass, UpstreamProtocol};
pub use relay::{Relay, RelayParts};
pub use request::{Inbound, PromptPart, Refusal};
pub use rollout_watch::RolloutWatch;
pub use usage::UsageTracker;
